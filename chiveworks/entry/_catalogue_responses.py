"""Responses of the HTTP handlers for the catalogue."""

import dataclasses
from http import HTTPStatus

from aiohttp import web
from pydantic import BaseModel, JsonValue, ValidationError
from result import Err, Result

from chiveworks.base import Failure, Revision, Step, Verdict, ZoneName
from chiveworks.catalogue import (
    CatalogueEntry,
    CatalogueReplica,
    EditConflict,
    StoredVersion,
    ZoneState,
    ZoneSwitch,
)


class InvalidRequestError(Exception):
    """A request is invalid and is rejected before it has any effect."""

    def __init__(self, status: HTTPStatus, reason: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.reason = reason


def describe_validation_error(error: ValidationError) -> str:
    """Returns a message that lists every invalid field."""
    return '; '.join(
        f'{".".join(map(str, problem["loc"])) or "body"}: {problem["msg"]}'
        for problem in error.errors()
    )


def edit_response(edit: Result[Revision, Failure | EditConflict]) -> web.Response:
    """Returns the response to a change: its revision, a conflict or a failure."""
    if not isinstance(edit, Err):
        return web.json_response({'revision': edit.ok_value})
    problem = edit.err_value
    if isinstance(problem, Failure):
        return failure_response(problem)
    message = (
        f'{problem.key} is at revision {problem.found}, '
        f'the change is based on {problem.expected}'
    )
    failure = Failure.not_run(
        Step.STORE_WRITE, 'store', message, 'merge the diff and apply the change again'
    )
    return _error(
        HTTPStatus.CONFLICT,
        failure,
        reason='conflict',
        revision=problem.found,
        expected=problem.expected,
        diff=[dataclasses.asdict(change) for change in problem.diff],
    )


def failure_response(failure: Failure, **extra: JsonValue) -> web.Response:
    """Returns a 504 response when the outcome is unknown, otherwise a 503."""
    if failure.verdict is Verdict.OUTCOME_UNKNOWN:
        return _error(HTTPStatus.GATEWAY_TIMEOUT, failure, **extra)
    response = _error(HTTPStatus.SERVICE_UNAVAILABLE, failure, **extra)
    response.headers['Retry-After'] = '1'
    return response


def invalid_request_response(refused: InvalidRequestError) -> web.Response:
    """Returns the response to an invalid request."""
    failure = Failure.not_run(Step.VALIDATE, '', str(refused), 'correct the request')
    return _error(refused.status, failure, reason=refused.reason)


def bad_request(message: str) -> web.Response:
    """Returns a 400 response."""
    return invalid_request_response(
        InvalidRequestError(HTTPStatus.BAD_REQUEST, 'invalid', message)
    )


def not_found(message: str, next_step: str = 'check the name') -> web.Response:
    """Returns a 404 response."""
    failure = Failure.not_run(Step.RESOLVE, '', message, next_step)
    return _error(HTTPStatus.NOT_FOUND, failure, reason='not_found')


def _error(status: HTTPStatus, failure: Failure, **extra: JsonValue) -> web.Response:
    # Omits the fields of subclasses: `owner_address` is meant for other entry
    # processes, and `reason` is put next to `error` by `shard_failure_response`.
    fields = {
        field.name: getattr(failure, field.name)
        for field in dataclasses.fields(Failure)
    }
    return web.json_response({'error': fields, **extra}, status=status)


def document_fields(document: BaseModel) -> dict[str, JsonValue]:
    """Returns a document as JSON fields."""
    fields: dict[str, JsonValue] = document.model_dump(mode='json')
    return fields


def version_fields(version: StoredVersion[CatalogueEntry]) -> dict[str, JsonValue]:
    """Returns a version as JSON fields; `entry` is null after a deletion."""
    return {
        'revision': version.revision,
        'author': version.author,
        'at': version.at.isoformat(),
        'entry': document_fields(version.document) if version.document else None,
    }


def zone_fields(
    name: ZoneName, switch: ZoneSwitch | None, replica: CatalogueReplica
) -> dict[str, JsonValue]:
    """Returns a zone as JSON fields; without a switch it is in service."""
    if switch is None:
        fields: dict[str, JsonValue] = {
            'state': ZoneState.IN_SERVICE.value,
            'author': '',
            'reason': '',
            'since': None,
        }
    else:
        fields = document_fields(switch)
    return {'name': name, 'revision': replica.zone_revision(name), **fields}
