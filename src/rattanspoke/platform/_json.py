"""Decoding of JSON that other programs wrote."""

import re
from collections.abc import Iterator
from itertools import pairwise
from typing import TypeVar

import msgspec

Form = TypeVar('Form')

# What msgspec raises on input that it cannot decode. The nesting that it supports
# depends on the interpreter's stack.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# Strings, runs of brackets, and separators. No alternative backtracks, and a string
# without an end extends to the end of the text, so the time is linear in any input.
_TOKENS = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[{]++|[\]}]++|[,:]', re.DOTALL)
_KEY = re.compile(rb'("[^"\\]*+(?:\\.[^"\\]*+)*+")\s*:', re.DOTALL)
_OPENING, _CLOSING = b'[{', b']}'


class UnreadableJson(Exception):
    """Raised when bytes are not JSON of the expected form."""


def decode_json(content: bytes, form: type[Form]) -> Form:
    """Decode JSON as a type.

    Raises:
        UnreadableJson: when the content is not JSON of that type, or is nested too
            deeply.
    """
    try:
        return msgspec.json.decode(content, type=form)
    except DECODE_ERRORS as error:
        raise UnreadableJson(str(error)) from error


def split_array(content: bytes) -> list[bytes]:
    """Return the elements of an array, undecoded.

    The elements may hold anything that a JSON string can, and may be nested to any
    depth.

    Raises:
        UnreadableJson: when the content is no array.
    """
    if not content.lstrip().startswith(b'['):
        raise UnreadableJson('the content is not an array')
    return _split_members(content)


def split_object(content: bytes) -> dict[str, bytes]:
    """Return the undecoded values of an object by key, without keys that do not decode.

    Raises:
        UnreadableJson: when the content is no object.
    """
    if not content.lstrip().startswith(b'{'):
        raise UnreadableJson('the content is not an object')
    found: dict[str, bytes] = {}
    for member in _split_members(content):
        key = _KEY.match(member)
        if key is None:
            raise UnreadableJson('a member of an object has no key')
        try:
            name = decode_json(key.group(1), str)
        except UnreadableJson:
            continue  # no field that is read has such a name
        found[name] = member[key.end() :].strip()
    return found


def _split_members(content: bytes) -> list[bytes]:
    """Return the text of each member of the outermost array or object."""
    text = content.strip()
    bounds = [0]
    depth, end = -1, 0
    for token, depth in _scan(text):
        if depth == 1 and token.group() == b',':
            bounds.append(token.start())
        end = token.end()
        if depth < 1:
            break
    if depth or end != len(text):
        raise UnreadableJson('the brackets do not match')
    bounds.append(end - 1)
    members = (text[start + 1 : stop].strip() for start, stop in pairwise(bounds))
    return [member for member in members if member]


def _scan(text: bytes) -> Iterator[tuple[re.Match[bytes], int]]:
    """Yield each token and the number of brackets that are open after it."""
    depth = 0
    for token in _TOKENS.finditer(text):
        mark = token.group()
        if mark[0] in _OPENING:
            depth += len(mark)
        elif mark[0] in _CLOSING:
            depth -= len(mark)
        yield token, depth
