"""Drawn requests that two readers of the same bytes may take apart."""

import contextlib
import socket

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from standins import scenario

_HIDDEN = b"GET /lookup/b HTTP/1.1\r\nHost: x\r\nX-Marker: hidden\r\n\r\n"
_FIRST_LINE = b"POST /lookup/b HTTP/1.1\r\n"
_HOST = b"Host: x\r\nX-Marker: hidden\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_ANSWER_SECONDS = 4.0
_ENOUGH_WRONG = 6


def _text(alphabet):
    return strategies.text(alphabet, min_size=1, max_size=6).map(
        lambda text: text.encode("latin-1")
    )


_NAMES = strategies.sampled_from(
    [b"Content-Length", b"Transfer-Encoding", b"X-A", b"Host"]
)
_NO_TOKEN = strategies.sampled_from(list('()<>@,;\\"/[]?={} \t_\x00\x7f\xe9'))
_CONTROLS = strategies.sampled_from(
    [chr(code) for code in (*range(9), *range(10, 32), 127)]
)
_NO_LENGTH = _text("+-0x_,;e1.\xb2 ").filter(
    lambda text: not text.strip().isdigit()
)
_NO_SIZE = _text("+-0x_g.,'").filter(
    lambda text: any(each not in b"0123456789abcdefABCDEF" for each in text)
)
_NO_CODING = strategies.sampled_from(
    [b"identity", b"chunked, identity", b"xchunked", b"chunked;q=1", b"gzip"]
)


@strategies.composite
def _broken_length(draw):
    first, second = draw(_NO_LENGTH), draw(_NO_LENGTH | _text("0123456789"))
    both = draw(strategies.booleans())
    lines = b"Content-Length: " + first + b"\r\n"
    if both:
        lines += b"Content-Length: " + second + b"\r\n"
    return _FIRST_LINE + _HOST + lines + b"\r\n"


@strategies.composite
def _two_framings(draw):
    length = b"Content-Length: %d\r\n" % draw(strategies.integers(0, 99))
    lines = draw(strategies.permutations([length, _CHUNKED]))
    return _FIRST_LINE + _HOST + b"".join(lines) + b"\r\n0\r\n\r\n"


@strategies.composite
def _unknown_coding(draw):
    line = b"Transfer-Encoding: " + draw(_NO_CODING) + b"\r\n"
    return _FIRST_LINE + _HOST + line + b"\r\n0\r\n\r\n"


@strategies.composite
def _bad_chunk(draw):
    size = draw(_NO_SIZE)
    ahead = draw(strategies.sampled_from([b"", b"3\r\nabc\r\n"]))
    body = ahead + size + b"\r\n" + _HIDDEN + b"\r\n0\r\n\r\n"
    return _FIRST_LINE + _HOST + _CHUNKED + b"\r\n" + body


@strategies.composite
def _odd_name(draw):
    name = draw(_NAMES).decode()
    at = draw(strategies.integers(1, len(name)))
    odd = name[:at] + draw(_NO_TOKEN) + name[at:]
    line = odd.encode("latin-1") + b": 5\r\n"
    return _FIRST_LINE + _HOST + line + b"\r\n"


@strategies.composite
def _control_in_value(draw):
    value = "a" + draw(_CONTROLS) + draw(strategies.sampled_from(["", "b"]))
    tail = draw(strategies.sampled_from([b"", b"Content-Length: 5\r\n"]))
    line = b"X-A: " + value.encode("latin-1") + b"\r\n"
    return _FIRST_LINE + _HOST + line + tail + b"\r\n"


@strategies.composite
def _fold(draw):
    space = draw(strategies.sampled_from([b" ", b"\t", b"  "]))
    line = (
        b"X-A: a\r\n" + space + draw(strategies.sampled_from([b"b", _CHUNKED]))
    )
    return _FIRST_LINE + _HOST + line.rstrip() + b"\r\n\r\n"


_FIRST_LINES = strategies.sampled_from(
    [
        b"POST  /lookup/b HTTP/1.1\r\n",
        b" POST /lookup/b HTTP/1.1\r\n",
        b"POST /lookup/b HTTP/1.1 x\r\n",
        b"POST /lookup/b HTTP/3.0\r\n",
        b"POST /lookup/b http/1.1\r\n",
        b"POST /lookup/b HTTP/1.1\n",
        b"POST /lookup/b\r\n",
        b"PO ST /lookup/b HTTP/1.1\r\n",
        b"POST /lookup/b\x00 HTTP/1.1\r\n",
        b"POST /lookup/b\tHTTP/1.1\r\n",
        b"POST /look\tup/b HTTP/1.1\r\n",
        b"POST /lookup/b HTTP/+1.1\r\n",
        b"POST /lookup/b HTTP/1.01\r\n",
        b"POST lookup/b HTTP/1.1\r\n",
    ]
)


@strategies.composite
def _odd_first_line(draw):
    return draw(_FIRST_LINES) + _HOST + b"\r\n"


_KINDS = (
    _broken_length(),
    _two_framings(),
    _unknown_coding(),
    _bad_chunk(),
    _odd_name(),
    _control_in_value(),
    _fold(),
    _odd_first_line(),
)


def _answers(address, data):
    """Send bytes and return all that came back until the other end closed."""
    received = b""
    with socket.create_connection(address, _ANSWER_SECONDS) as connection:
        with contextlib.suppress(ConnectionError):
            connection.sendall(data)
            while part := connection.recv(65536):
                received += part
    return received


@when("{count:d} drawn ambiguous requests, each with another behind it")
def step_drawn(context, count):
    listener = context.fleet.nodes["n0"]["callers"]
    address = (listener["host"], listener["port"])
    context.wrong = []

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=count // len(_KINDS),
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.tuples(*_KINDS))
    def send(requests):
        # Each wrong one may take its whole time; a few tell enough.
        if len(context.wrong) >= _ENOUGH_WRONG:
            return
        for request in requests:
            try:
                got = _answers(address, request + _HIDDEN)
            except TimeoutError:
                context.wrong.append((request, b"the connection stayed open"))
                continue
            refused = got.startswith((b"HTTP/1.1 4", b"HTTP/1.1 505"))
            if got.count(b"HTTP/1.1 ") != 1 or not refused:
                context.wrong.append((request, got))

    send()


@then("each got one refusal that ended its connection")
def step_refused(context):
    assert not context.wrong, (len(context.wrong), context.wrong[:12])


@when("a chunked request with a trailer is followed by another")
def step_trailer(context):
    listener = context.fleet.nodes["n0"]["callers"]
    body = b"3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"
    first = _FIRST_LINE + b"Host: x\r\n" + _CHUNKED + b"\r\n" + body
    last = _HIDDEN.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    address = (listener["host"], listener["port"])
    context.answers = _answers(address, first + last)


@then("both are served")
def step_both_served(context):
    got = context.answers
    assert got.count(b"HTTP/1.1 200 ") == got.count(b"HTTP/1.1 ") == 2, got


@then("no runner saw any of them")
def step_none_ran(context):
    runs = scenario.counted(context)
    assert not runs.get("hidden"), runs
