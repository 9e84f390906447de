"""Generated example data, past jobs and repair tickets, and a search over it."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ..model import DocumentId, Hit, IndexVersion, ShardId

TRADES = ('counter', 'cabinet', 'display', 'bakery', 'jeweller', 'pharmacy', 'deli')
TASKS = ('polish', 'refinish', 'scratch', 'reseal', 'resize', 'solder', 'appraise')
ITEMS = ('glass', 'pane', 'hinge', 'ring', 'brooch', 'clasp', 'stone', 'alloy')
PLACES = ('harbour', 'market', 'station', 'pier', 'square', 'mill', 'bridge')


@dataclass(frozen=True, slots=True)
class Document:
    """One record of a past job or a repair ticket."""

    document: DocumentId
    text: str
    weight: float


@dataclass(frozen=True, slots=True)
class IndexData:
    """Every version of one index: its documents by shard."""

    versions: dict[IndexVersion, dict[ShardId, tuple[Document, ...]]]

    def search(
        self, version: IndexVersion, shards: Iterable[ShardId], query: str, limit: int
    ) -> tuple[Hit, ...]:
        """Return the best-scored documents that contain every word of the query."""
        words = query.lower().split()
        held = self.versions[version]
        found = [
            Hit(each.document, each.weight, each.text)
            for shard in shards
            for each in held[shard]
            if all(word in each.text for word in words)
        ]
        found.sort(key=lambda hit: (-hit.score, hit.document))
        return tuple(found[:limit])


def generate_index(
    name: str, documents: int, shards: dict[IndexVersion, int], seed: int
) -> IndexData:
    """Generate an index whose versions differ in content and may differ in shard count.

    Each version replaces the texts of 5% of the documents of the version before.

    Args:
        name: prefix of the document ids.
        documents: number of documents in each version.
        shards: number of shards of each version.
        seed: of the random generator; equal arguments give equal data.
    """
    randomness = random.Random(seed)
    texts = {
        DocumentId(f'{name}-{number:06d}'): _generate_text(randomness)
        for number in range(documents)
    }
    weights = {document: round(randomness.random(), 6) for document in texts}
    versions: dict[IndexVersion, dict[ShardId, tuple[Document, ...]]] = {}
    for version, count in sorted(shards.items()):
        for document in randomness.sample(sorted(texts), k=max(1, documents // 20)):
            texts[document] = _generate_text(randomness)
        versions[version] = _split_into_shards(texts, weights, count)
    return IndexData(versions)


def _generate_text(randomness: random.Random) -> str:
    words = (TRADES, TASKS, ITEMS, PLACES)
    return ' '.join(randomness.choice(each) for each in words)


def _split_into_shards(
    texts: dict[DocumentId, str], weights: dict[DocumentId, float], count: int
) -> dict[ShardId, tuple[Document, ...]]:
    shards: dict[ShardId, list[Document]] = {
        ShardId(f's{number:03d}'): [] for number in range(count)
    }
    names = sorted(shards)
    for document, text in texts.items():
        number = xxhash.xxh3_64_intdigest(document.encode()) % count
        shards[names[number]].append(Document(document, text, weights[document]))
    return {shard: tuple(held) for shard, held in shards.items()}
