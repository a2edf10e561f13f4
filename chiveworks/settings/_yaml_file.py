"""YAML parsing that records the line of each field."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from pydantic import JsonValue
from result import Err, Ok, Result

from chiveworks.settings._problem import FileProblem

FieldPath = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class YamlFile:
    """Content of a YAML file and the line on which each field starts."""

    content: JsonValue
    lines: dict[FieldPath, int]

    def line_of(self, field: FieldPath) -> int:
        """Returns the line of a field or, if it is missing, of its nearest parent."""
        prefix = field
        while prefix not in self.lines and prefix:
            prefix = prefix[:-1]
        return self.lines.get(prefix, 1)


def read_yaml(path: str) -> Result[YamlFile, FileProblem]:
    """Reads a YAML file with the safe loader, which rejects custom tags."""
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return Err(FileProblem(path, 0, 0, '', f'cannot be read: {error.strerror}'))
    except UnicodeDecodeError:
        return Err(FileProblem(path, 0, 0, '', 'expected text in UTF-8'))
    try:
        return Ok(_parse(text))
    except yaml.MarkedYAMLError as error:
        return Err(_syntax_problem(path, error))
    except RecursionError:
        return Err(FileProblem(path, 0, 0, '', 'is nested too deeply'))
    except yaml.YAMLError as error:
        return Err(FileProblem(path, 0, 0, '', f'is not YAML: {error}'))


def _parse(text: str) -> YamlFile:
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        if isinstance(event, yaml.AliasEvent):
            # Without aliases, the size of the content is bounded by that of the file.
            raise _error_at(event, 'aliases are not supported')
    root = yaml.compose(text, Loader=yaml.SafeLoader)
    lines: dict[FieldPath, int] = {}
    if root is not None:
        _collect_lines(root, (), lines)
    return YamlFile(yaml.safe_load(text), lines)


def _collect_lines(
    node: yaml.Node, path: FieldPath, lines: dict[FieldPath, int]
) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, member in enumerate(node.value):
            _collect_lines(member, (*path, str(index)), lines)
    elif isinstance(node, yaml.MappingNode):
        _collect_mapping(node, path, lines)


def _collect_mapping(
    node: yaml.MappingNode, path: FieldPath, lines: dict[FieldPath, int]
) -> None:
    for key, child in node.value:
        child_path = (*path, str(key.value))
        if child_path in lines:
            raise _error_at(key, f'key {key.value!r} appears twice')
        lines[child_path] = key.start_mark.line + 1
        _collect_lines(child, child_path, lines)


def _error_at(position: yaml.Node | yaml.Event, problem: str) -> yaml.MarkedYAMLError:
    mark: Any = position.start_mark
    return yaml.MarkedYAMLError(problem=problem, problem_mark=mark)


def _syntax_problem(path: str, error: yaml.MarkedYAMLError) -> FileProblem:
    mark = error.problem_mark or error.context_mark
    line, column = (mark.line + 1, mark.column + 1) if mark else (0, 0)
    parts = (part for part in (error.context, error.problem) if part)
    return FileProblem(path, line, column, '', f'is not valid YAML: {", ".join(parts)}')
