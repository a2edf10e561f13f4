"""HTTP handlers for catalogue entries and zone states."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import Annotated, Final

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, JsonValue, ValidationError
from result import Err

from chiveworks.base import EntryName, Revision, ZoneName
from chiveworks.catalogue import (
    CatalogueEditor,
    CatalogueEntry,
    CatalogueReplica,
    EditConflict,
    ZoneState,
)
from chiveworks.entry._catalogue_responses import (
    InvalidRequestError,
    bad_request,
    describe_validation_error,
    document_fields,
    edit_response,
    failure_response,
    invalid_request_response,
    not_found,
    version_fields,
    zone_fields,
)

_ENTRY_PATH: Final = '/v1/catalogue/{name}'
_MAX_AUTHOR_LENGTH: Final = 200
_MAX_REASON_LENGTH: Final = 1000


class _ZoneChange(BaseModel):
    model_config = ConfigDict(strict=True, extra='forbid')

    state: ZoneState
    reason: Annotated[str, Field(max_length=_MAX_REASON_LENGTH)] = ''


def add_catalogue_routes(
    app: web.Application,
    editor: CatalogueEditor,
    replica: CatalogueReplica,
    zones: Iterable[ZoneName] = (),
    list_remaining: Callable[[ZoneName], Awaitable[JsonValue]] | None = None,
) -> None:
    """Adds the catalogue and zone endpoints to an application.

    Args:
        app: The application.
        editor: Writes changes.
        replica: Serves reads that may be stale.
        zones: Known zones. If given, changes of other zones are rejected.
        list_remaining: Lists the tasks that still run in a zone that is out of
            service.
    """
    routes = _CatalogueRoutes(editor, replica, tuple(zones), list_remaining)
    app.add_routes(
        [
            web.get('/v1/catalogue', routes.list_entries),
            web.get(_ENTRY_PATH, routes.get_entry),
            web.put(_ENTRY_PATH, routes.put_entry),
            web.delete(_ENTRY_PATH, routes.delete_entry),
            web.get(f'{_ENTRY_PATH}/history', routes.get_history),
            web.get('/v1/zones', routes.list_zones),
            web.put('/v1/zones/{name}', routes.put_zone),
        ]
    )


class _CatalogueRoutes:
    def __init__(
        self,
        editor: CatalogueEditor,
        replica: CatalogueReplica,
        zones: tuple[ZoneName, ...],
        list_remaining: Callable[[ZoneName], Awaitable[JsonValue]] | None,
    ) -> None:
        self._editor = editor
        self._replica = replica
        self._zones = zones
        self._list_remaining = list_remaining

    async def list_entries(self, _request: web.Request) -> web.Response:
        entries = self._replica.entries()
        return web.json_response(
            {
                'revision': self._replica.revision,
                'entries': [document_fields(entry) for entry in entries],
                'revisions': {
                    entry.name: self._replica.entry_revision(entry.name)
                    for entry in entries
                },
            }
        )

    async def get_entry(self, request: web.Request) -> web.Response:
        name = EntryName(request.match_info['name'])
        latest = await self._editor.current(name)
        if isinstance(latest, Err):
            # Falls back to the replica while the store is unavailable.
            entry, revision = (
                self._replica.entry(name),
                self._replica.entry_revision(name),
            )
        else:
            version = latest.ok_value
            entry = version.document if version else None
            revision = version.revision if version else Revision(0)
        if entry is None:
            return not_found(f'there is no catalogue entry {name}')
        return web.json_response(
            {'entry': document_fields(entry), 'revision': revision}
        )

    async def put_entry(self, request: web.Request) -> web.Response:
        try:
            entry = CatalogueEntry.model_validate_json(await _read_body(request))
            if entry.name != request.match_info['name']:
                return bad_request(
                    'the path and the body name different entries; the body has '
                    f'{entry.name}'
                )
            expected, author = _expected_revision(request), _author(request)
        except ValidationError as error:
            return bad_request(describe_validation_error(error))
        except InvalidRequestError as error:
            return invalid_request_response(error)
        return edit_response(await self._editor.apply(entry, expected, author))

    async def delete_entry(self, request: web.Request) -> web.Response:
        name = EntryName(request.match_info['name'])
        try:
            expected, author = _expected_revision(request), _author(request)
        except InvalidRequestError as error:
            return invalid_request_response(error)
        outcome = await self._editor.delete(name, expected, author)
        refused_edit = outcome.err()
        if isinstance(refused_edit, EditConflict) and not refused_edit.found:
            return not_found(f'there is no catalogue entry {name}')
        return edit_response(outcome)

    async def get_history(self, request: web.Request) -> web.Response:
        name = EntryName(request.match_info['name'])
        history = await self._editor.history(name)
        if isinstance(history, Err):
            return failure_response(history.err_value)
        if not history.ok_value:
            return not_found(f'catalogue entry {name} has never existed')
        versions = [version_fields(version) for version in history.ok_value]
        return web.json_response({'versions': versions})

    async def list_zones(self, _request: web.Request) -> web.Response:
        switches = self._replica.zone_switches()
        names = sorted({*self._zones, *switches})
        zones = await asyncio.gather(*(self._describe_zone(name) for name in names))
        return web.json_response({'zones': zones})

    async def _describe_zone(self, name: ZoneName) -> dict[str, JsonValue]:
        fields = zone_fields(name, self._replica.zone_switch(name), self._replica)
        is_out = not self._replica.is_in_service(name)
        if is_out and self._list_remaining is not None:
            fields['tasks'] = await self._list_remaining(name)
        return fields

    async def put_zone(self, request: web.Request) -> web.Response:
        zone = ZoneName(request.match_info['name'])
        if self._zones and zone not in self._zones:
            known = ', '.join(self._zones)
            return not_found(
                f'there is no availability zone {zone}; known zones: {known}'
            )
        try:
            change = _ZoneChange.model_validate_json(await _read_body(request))
            author = _author(request)
            expected = (
                _expected_revision(request) if 'expected' in request.query else None
            )
        except ValidationError as error:
            return bad_request(describe_validation_error(error))
        except InvalidRequestError as error:
            return invalid_request_response(error)
        return edit_response(
            await self._editor.set_zone(
                zone, change.state, author, change.reason, expected
            )
        )


async def _read_body(request: web.Request) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise InvalidRequestError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            'too_large',
            'the body is larger than the setting limits.body_bytes allows',
        ) from error


def _expected_revision(request: web.Request) -> Revision:
    text = request.query.get('expected', '')
    # Longer numbers are not valid revisions, and int() rejects very long ones.
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST,
            'invalid',
            'the query must contain expected=REVISION, the revision that the change '
            f'is based on (0 to create), got {text!r}',
        )
    return Revision(int(text))


def _author(request: web.Request) -> str:
    author = request.query.get('author', '').strip()
    if not author or len(author) > _MAX_AUTHOR_LENGTH:
        raise InvalidRequestError(
            HTTPStatus.BAD_REQUEST,
            'invalid',
            'the query must contain author=NAME of 1 to '
            f'{_MAX_AUTHOR_LENGTH} characters',
        )
    return author
