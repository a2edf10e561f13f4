"""Guards against a reference page that differs from the settings schema."""

import re
from pathlib import Path
from typing import Any, get_args

from pydantic import BaseModel

from chiveworks.settings import Settings

PAGE = Path(__file__).parents[3] / 'docs' / 'settings.md'


def schema_fields(model: Any, prefix: str = ''):
    for name, field in model.model_fields.items():
        inner = [one for one in get_args(field.annotation) if isinstance(one, type)]
        nested = [
            one
            for one in (field.annotation, *inner)
            if isinstance(one, type) and issubclass(one, BaseModel)
        ]
        if not nested or inner:
            yield prefix + name, field
        for one in nested:
            yield from schema_fields(one, f'{prefix}{name}.{"N." if inner else ""}')


def test_page_lists_every_setting_with_its_default():
    rows = dict(re.findall(r'^\| `(\S+)` \| `?(.*?)`? \|', PAGE.read_text(), re.M))
    variables = {'CHIVEWORKS_SERVER', 'CHIVEWORKS_AUTHOR'}
    fields = dict(schema_fields(Settings))
    assert rows.keys() - variables == fields.keys()
    for name, field in fields.items():
        if name == 'zones':
            continue
        default = str(field.default).lower() if not field.is_required() else 'required'
        assert rows[name] == default, name
