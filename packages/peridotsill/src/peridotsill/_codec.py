"""Conversion between JSON and attrs classes; errors name every bad field."""

import enum
import typing

import attrs
import cattrs
from cattrs.preconf import orjson as orjson_converter
import orjson

from peridotsill import exceptions

_T = typing.TypeVar("_T")

_strict_converter = orjson_converter.make_converter(
    forbid_extra_keys=True, detailed_validation=True
)
_lenient_converter = orjson_converter.make_converter(
    forbid_extra_keys=False, detailed_validation=True
)


def _strict_number(value: object, cls: type) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number, got {value!r}")
    return float(value)


def _strict_integer(value: object, cls: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected an integer, got {value!r}")
    return value


def _strict_text(value: object, cls: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    return value


def _strict_flag(value: object, cls: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {value!r}")
    return value


for _each_converter in (_strict_converter, _lenient_converter):
    _each_converter.register_structure_hook(float, _strict_number)
    _each_converter.register_structure_hook(int, _strict_integer)
    _each_converter.register_structure_hook(bool, _strict_flag)
    _each_converter.register_structure_hook_func(
        lambda kind: kind is str, _strict_text
    )


def bounded(
    *,
    minimum: float | None = None,
    maximum: float | None = None,
    **options: typing.Any,
) -> typing.Any:
    """Return an attrs field with a range that `from_plain` checks.

    Args:
        minimum: Smallest allowed value, inclusive.
        maximum: Largest allowed value, inclusive.
        options: Passed on to ``attrs.field``.
    """
    metadata = {"minimum": minimum, "maximum": maximum}
    return attrs.field(metadata=metadata, **options)


def encode(value: object) -> bytes:
    """Return an attrs object or plain data as JSON text."""
    return _strict_converter.dumps(value)


def to_plain(value: object) -> typing.Any:
    """Return an attrs object as plain data: dicts, lists, strings, numbers."""
    return _strict_converter.unstructure(value)


def from_plain(data: object, kind: type[_T], *, strict: bool = True) -> _T:
    """Build an object of class ``kind`` from plain data.

    Unknown fields are ignored unless ``strict`` is set.

    Raises:
        InvalidResource: With every bad field, as ``field.path: reason``.
    """
    problems = _range_problems(data, kind, "")
    converter = _strict_converter if strict else _lenient_converter
    try:
        result = converter.structure(data, kind)
    except Exception as error:
        problems = _structure_problems(error) + problems
    if problems:
        raise exceptions.InvalidResource(tuple(problems))
    return result


def decode(text: bytes, kind: type[_T], *, strict: bool = True) -> _T:
    """Build an object of class ``kind`` from JSON text.

    Unknown fields are ignored unless ``strict`` is set.

    Raises:
        InvalidResource: If the text isn't JSON or has bad fields.
    """
    return from_plain(decode_plain(text), kind, strict=strict)


def decode_plain(text: bytes) -> typing.Any:
    """Parse JSON text into plain data.

    Raises:
        InvalidResource: If the text isn't JSON.
    """
    try:
        return orjson.loads(text)
    except ValueError as error:
        raise exceptions.InvalidResource((f"not JSON: {error}",)) from error


def _structure_problems(error: Exception) -> list[str]:
    lines = cattrs.transform_error(error, path="")
    return [_format_problem(line) for line in lines]


def _format_problem(line: str) -> str:
    reason, _, path = line.rpartition(" @ ")
    path = path.lstrip(".") or "(document)"
    return f"{path}: {reason}"


def _range_problems(data: object, kind: typing.Any, path: str) -> list[str]:
    if not attrs.has(kind) or not isinstance(data, dict):
        return []
    hints = typing.get_type_hints(kind)
    problems: list[str] = []
    for field in attrs.fields(kind):
        if field.name not in data:
            continue
        field_path = f"{path}{field.name}"
        value = data[field.name]
        problems += _field_problems(value, field, field_path)
        problems += _nested_problems(value, hints[field.name], field_path)
    return problems


def _nested_problems(value: object, hint: typing.Any, path: str) -> list[str]:
    inner_classes = [arg for arg in typing.get_args(hint) if attrs.has(arg)]
    if attrs.has(hint):
        return _range_problems(value, hint, f"{path}.")
    if not inner_classes:
        return []
    if not isinstance(value, list):
        return _range_problems(value, inner_classes[0], f"{path}.")
    problems: list[str] = []
    for index, item in enumerate(value):
        problems += _range_problems(
            item, inner_classes[0], f"{path}[{index}]."
        )
    return problems


def _field_problems(value: object, field: typing.Any, path: str) -> list[str]:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return []
    minimum = field.metadata.get("minimum")
    maximum = field.metadata.get("maximum")
    if value != value:
        return [f"{path}: not a number"]
    if minimum is not None and value < minimum:
        return [f"{path}: {value} is below {minimum}"]
    if maximum is not None and value > maximum:
        return [f"{path}: {value} is above {maximum}"]
    return []


class TextEnum(enum.StrEnum):
    """An enumeration whose members are encoded as their values."""
