"""Conversion between JSON and attrs classes; errors name every bad field."""

import enum
import functools
import typing

import attrs
import cattrs
from cattrs.preconf import orjson as orjson_converter
import orjson

from peridotsill import exceptions

_T = typing.TypeVar("_T")
# Leaves to the converter what it and orjson may encode differently.
_PLAIN_DATA_ONLY = (
    orjson.OPT_PASSTHROUGH_DATACLASS
    | orjson.OPT_PASSTHROUGH_DATETIME
    | orjson.OPT_PASSTHROUGH_SUBCLASS
)

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
    if type(value) in (dict, list):
        try:
            return orjson.dumps(value, option=_PLAIN_DATA_ONLY)
        except orjson.JSONEncodeError:
            # It holds an attrs object, or what has no JSON text.
            pass
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


@attrs.frozen(kw_only=True)
class _FieldCheck:
    """How a field's value is checked, as its class declares it.

    ``inner`` is the class of the objects that the value holds, and
    ``may_be_list`` whether it may hold several of them.
    """

    name: str
    minimum: float | None
    maximum: float | None
    inner: typing.Any
    may_be_list: bool


@functools.cache
def _field_checks(kind: typing.Any) -> tuple[_FieldCheck, ...]:
    """Return the checks of an attrs class's fields."""
    hints = typing.get_type_hints(kind)
    return tuple(
        _make_field_check(field, hints[field.name])
        for field in attrs.fields(kind)
    )


def _make_field_check(field: typing.Any, hint: typing.Any) -> _FieldCheck:
    is_object = attrs.has(hint)
    inner_classes = [arg for arg in typing.get_args(hint) if attrs.has(arg)]
    first_inner = inner_classes[0] if inner_classes else None
    return _FieldCheck(
        name=field.name,
        minimum=field.metadata.get("minimum"),
        maximum=field.metadata.get("maximum"),
        inner=hint if is_object else first_inner,
        may_be_list=not is_object,
    )


def _range_problems(data: object, kind: typing.Any, path: str) -> list[str]:
    if not isinstance(data, dict) or not attrs.has(kind):
        return []
    problems: list[str] = []
    for check in _field_checks(kind):
        if check.name not in data:
            continue
        value = data[check.name]
        if isinstance(value, (int, float)):
            problems += _number_problems(value, check, path)
        elif check.inner is not None:
            problems += _nested_problems(value, check, path)
    return problems


def _nested_problems(
    value: object, check: _FieldCheck, path: str
) -> list[str]:
    field_path = f"{path}{check.name}"
    if not isinstance(value, list) or not check.may_be_list:
        return _range_problems(value, check.inner, f"{field_path}.")
    problems: list[str] = []
    for index, item in enumerate(value):
        problems += _range_problems(
            item, check.inner, f"{field_path}[{index}]."
        )
    return problems


def _number_problems(value: float, check: _FieldCheck, path: str) -> list[str]:
    if isinstance(value, bool):
        return []
    if value != value:
        return [f"{path}{check.name}: not a number"]
    if check.minimum is not None and value < check.minimum:
        return [f"{path}{check.name}: {value} is below {check.minimum}"]
    if check.maximum is not None and value > check.maximum:
        return [f"{path}{check.name}: {value} is above {check.maximum}"]
    return []


class TextEnum(enum.StrEnum):
    """An enumeration whose members are encoded as their values."""
