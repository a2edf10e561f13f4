"""Loading of files written by operators."""

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
    """Loads and checks the settings of an entry process."""
    return load_document(path, Settings)


def load_document(
    path: str, form: type[_Model]
) -> Result[_Model, tuple[FileProblem, ...]]:
    """Loads a YAML file and checks it against a model.

    Returns:
        The document, or every problem found, in the order of the lines.
    """
    read = read_yaml(path)
    if isinstance(read, Err):
        return Err((read.err_value,))
    document = read.ok_value
    if not isinstance(document.content, dict):
        return Err((FileProblem(path, 1, 0, '', 'expected keys and values'),))
    # Strict checks accept lists and names of states only when they come from JSON.
    text = json.dumps(document.content, default=str)
    try:
        return Ok(form.model_validate_json(text))
    except ValidationError as error:
        problems = (_describe(path, document, form, one) for one in error.errors())
        return Err(tuple(sorted(problems, key=lambda problem: problem.line)))


def _describe(
    path: str, document: YamlFile, form: type[BaseModel], error: ErrorDetails
) -> FileProblem:
    field = tuple(str(part) for part in error['loc'])
    named = error.get('ctx', {}).get('field')
    if named:
        field = (*field, *str(named).split('.'))
    message = _message(form, field, error)
    return FileProblem(path, document.line_of(field), 0, '.'.join(field), message)


def _message(form: type[BaseModel], field: tuple[str, ...], error: ErrorDetails) -> str:
    kind, text = error['type'], error['msg']
    if kind == 'extra_forbidden':
        return _unknown_key(form, field)
    if kind == 'missing':
        return 'required key is missing'
    if kind == 'impossible':
        return text
    expected = text.removeprefix('Input should be ').removeprefix('Value error, ')
    units = (unit for suffix, unit in _UNITS.items() if field[-1].endswith(suffix))
    unit = ''.join(f' ({name})' for name in units)
    return f'expected {expected}{unit}, got {error["input"]!r}'


def _unknown_key(form: type[BaseModel], field: tuple[str, ...]) -> str:
    known = _known_keys(form, field[:-1])
    close = difflib.get_close_matches(field[-1], known, n=1)
    hint = f'did you mean {close[0]}? ' if close else ''
    return f'unknown key; {hint}expected one of {", ".join(known)}'


def _known_keys(form: type[BaseModel], path: tuple[str, ...]) -> list[str]:
    """Returns the keys of the model at `path`, which leads to a nested model."""
    current = form
    for part in path:
        if part in current.model_fields:
            nested: Any = current.model_fields[part].annotation
            inner = get_args(nested)
            current = inner[0] if inner else nested
    return list(current.model_fields)
