"""Reads templates and parameters from TOML files."""

import tomllib
from pathlib import Path
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from crowsill.model.configuration import ConfigurationContent, Parameters, Template


class _KindOnly(msgspec.Struct):
    kind: Literal["template", "parameters"]


def _load_file(path: Path) -> Result[Template | Parameters, str]:
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        kind = msgspec.convert(table, _KindOnly).kind
        table.pop("kind")
        if kind == "template":
            return Success(msgspec.convert(table, Template))
        return Success(msgspec.convert(table, Parameters))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(f"{path}: {error}")
    except msgspec.ValidationError as error:
        return Failure(f"{path}: {error}")


def load_content(paths: list[Path]) -> Result[ConfigurationContent, list[str]]:
    """Read files, and all `*.toml` files of folders, into one change.

    Returns:
        The change, or one line for each invalid file.
    """
    files: list[Path] = []
    for path in paths:
        files.extend(sorted(path.glob("*.toml")) if path.is_dir() else [path])
    templates: list[Template] = []
    parameters: list[Parameters] = []
    errors: list[str] = []
    for file in files:
        loaded = _load_file(file)
        if not isinstance(loaded, Success):
            errors.append(loaded.failure())
            continue
        document = loaded.unwrap()
        if isinstance(document, Template):
            templates.append(document)
        else:
            parameters.append(document)
    if not files:
        errors.append("no TOML file was named")
    if errors:
        return Failure(errors)
    return Success(ConfigurationContent(templates, parameters))
