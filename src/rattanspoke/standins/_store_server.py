"""The stand-in object store behind an HTTP server, in the platform's JSON format."""

from typing import Any

import msgspec
from aiohttp import web

from ..contracts import ObjectList
from ..model import (
    MS_PER_SECOND,
    NO_REVISION,
    PlatformConflict,
    PlatformHistoryGone,
    PlatformReplyLost,
    PlatformUnavailable,
    Revision,
    Seconds,
    StoredObject,
)
from ..platform import OBJECTS_PATH
from ._platform import StandinPlatform
from ._serving import HttpServer, abort, reply

LIST_PATH = f'{OBJECTS_PATH}{{kind}}'
OBJECT_PATH = f'{LIST_PATH}/{{name}}'


class PlatformServer:
    """Serves a stand-in object store over HTTP, as the platform serves its own."""

    def __init__(self, platform: StandinPlatform, address: str) -> None:
        self._platform = platform
        self._address = address

    def serve(self) -> HttpServer:
        """Return an HTTP server of the store."""
        routes = [
            web.get(LIST_PATH, self._list),
            web.post(LIST_PATH, self._write),
            web.get(OBJECT_PATH, self._read),
            web.put(OBJECT_PATH, self._write),
            web.delete(OBJECT_PATH, self._delete),
        ]
        return HttpServer(self._address, routes)

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        try:
            if 'watch' in request.query:
                return await self._watch(kind, request)
            listing = await self._platform.list_kind(kind)
        except PlatformHistoryGone:
            return reply({}, web.HTTPGone.status_code)
        except PlatformUnavailable:
            return reply({}, web.HTTPServiceUnavailable.status_code)
        items = [_write_object(each) for each in listing.objects]
        return reply({'items': items, 'more': False, 'asOf': listing.revision})

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        after = Revision(int(request.query['watch']))
        wait = Seconds(int(request.query.get('waitMs', '0')) / MS_PER_SECOND)
        changes = await self._platform.watch_kind(kind, after, wait)
        return reply({'events': _write_events(changes), 'asOf': changes.revision})

    async def _read(self, request: web.Request) -> web.Response:
        kind, name = request.match_info['kind'], request.match_info['name']
        try:
            stored = await self._platform.read(kind, name)
        except PlatformUnavailable:
            return reply({}, web.HTTPServiceUnavailable.status_code)
        if stored is None:
            return reply({}, web.HTTPNotFound.status_code)
        return reply(_write_object(stored))

    async def _write(self, request: web.Request) -> web.Response:
        form = msgspec.json.decode(await request.read())
        kind, name = request.match_info['kind'], form['meta']['name']
        expected = Revision(form['meta'].get('revision', NO_REVISION))
        content = msgspec.json.encode(form['spec'])
        try:
            written = await self._platform.write(kind, name, content, expected)
        except PlatformConflict:
            return reply({}, web.HTTPConflict.status_code)
        except PlatformReplyLost:
            return abort(request)
        except PlatformUnavailable:
            return reply({}, web.HTTPServiceUnavailable.status_code)
        stored = StoredObject(kind=kind, name=name, revision=written, content=content)
        return reply(_write_object(stored))

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info['kind'], request.match_info['name']
        expected = Revision(int(request.query['revision']))
        try:
            await self._platform.delete(kind, name, expected)
        except PlatformConflict:
            return reply({}, web.HTTPConflict.status_code)
        except PlatformReplyLost:
            return abort(request)
        except PlatformUnavailable:
            return reply({}, web.HTTPServiceUnavailable.status_code)
        return reply({})


def _write_object(stored: StoredObject) -> dict[str, Any]:
    content = stored.content or b'null'
    meta = {
        'name': stored.name,
        'revision': stored.revision,
        'finalizers': [],
        'deletionRequested': False,
    }
    return {'meta': meta, 'spec': msgspec.Raw(content), 'status': None}


def _write_events(changes: ObjectList) -> list[dict[str, Any]]:
    return [
        {'object': _write_object(each), 'deleted': each.content is None}
        for each in changes.objects
    ]
