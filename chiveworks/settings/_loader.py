"""Loading and validation of YAML files written by operators."""

import difflib
import json
from types import MappingProxyType
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from chiveworks.settings._problem import FileProblem
from chiveworks.settings._settings import Settings
from chiveworks.settings._yaml_file import YamlFile, read_yaml

_Model = TypeVar('_Model', bound=BaseModel)

_UNITS = MappingProxyType(
    {'_ms': 'milliseconds', '_bytes': 'bytes', '_per_s': 'per second'}
)


def load_settings(path: str) -> Result[Settings, tuple[FileProblem, ...]]:
    """Loads and validates the settings of an entry process."""
    return load_document(path, Settings)


def load_document(
    path: str, model: type[_Model]
) -> Result[_Model, tuple[FileProblem, ...]]:
    """Loads a YAML file and validates it against a model.

    Returns:
        The document, or every problem found, sorted by line.
    """
    read = read_yaml(path)
    if isinstance(read, Err):
        return Err((read.err_value,))
    document = read.ok_value
    if not isinstance(document.content, dict):
        return Err(
            (FileProblem(path, 1, 0, '', 'expected a mapping of keys to values'),)
        )
    # Strict validation converts lists to tuples and strings to enum members only in
    # JSON input.
    text = json.dumps(document.content, default=str)
    try:
        return Ok(model.model_validate_json(text))
    except ValidationError as error:
        problems = (
            _describe(path, document, model, details) for details in error.errors()
        )
        return Err(tuple(sorted(problems, key=lambda problem: problem.line)))


def _describe(
    path: str, document: YamlFile, model: type[BaseModel], error: ErrorDetails
) -> FileProblem:
    field = tuple(str(part) for part in error['loc'])
    context_field = error.get('ctx', {}).get('field')
    if context_field:
        field = (*field, *str(context_field).split('.'))
    message = _message(model, field, error)
    return FileProblem(path, document.line_of(field), 0, '.'.join(field), message)


def _message(
    model: type[BaseModel], field: tuple[str, ...], error: ErrorDetails
) -> str:
    kind, text = error['type'], error['msg']
    if kind == 'extra_forbidden':
        return _unknown_key(model, field)
    if kind == 'missing':
        return 'required key is missing'
    # The validators of the models raise this type with a complete message.
    if kind == 'impossible':
        return text
    expected = text.removeprefix('Input should be ').removeprefix('Value error, ')
    units = (unit for suffix, unit in _UNITS.items() if field[-1].endswith(suffix))
    unit = ''.join(f' ({name})' for name in units)
    return f'expected {expected}{unit}, got {error["input"]!r}'


def _unknown_key(model: type[BaseModel], field: tuple[str, ...]) -> str:
    known = _known_keys(model, field[:-1])
    matches = difflib.get_close_matches(field[-1], known, n=1)
    hint = f'did you mean {matches[0]}? ' if matches else ''
    return f'unknown key; {hint}expected one of {", ".join(known)}'


def _known_keys(model: type[BaseModel], path: tuple[str, ...]) -> list[str]:
    """Returns the keys of the nested model at `path`."""
    current = model
    for part in path:
        if part in current.model_fields:
            nested: Any = current.model_fields[part].annotation
            inner = get_args(nested)
            current = inner[0] if inner else nested
    return list(current.model_fields)
