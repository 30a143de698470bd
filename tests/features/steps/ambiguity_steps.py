"""Generated malformed requests, against request smuggling.

Two HTTP parsers may find different request boundaries in the same bytes.
A request hidden behind a malformed one must therefore not be run.
"""

import contextlib
import socket

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from standins import scenario

_HIDDEN = b"GET /lookup/b HTTP/1.1\r\nHost: x\r\nX-Marker: hidden\r\n\r\n"
_REQUEST_LINE = b"POST /lookup/b HTTP/1.1\r\n"
_HOST = b"Host: x\r\nX-Marker: hidden\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_ANSWER_TIMEOUT_SECONDS = 4.0
# Renaming a name in `send` or its decorators would draw other requests:
# hypothesis derives its seed from their source.
_ENOUGH_WRONG = 6


def _byte_strings(alphabet):
    return strategies.text(alphabet, min_size=1, max_size=6).map(
        lambda text: text.encode("latin-1")
    )


_HEADER_NAMES = strategies.sampled_from(
    [b"Content-Length", b"Transfer-Encoding", b"X-A", b"Host"]
)
_NON_TOKEN_CHARACTERS = strategies.sampled_from(
    list('()<>@,;\\"/[]?={} \t_\x00\x7f\xe9')
)
_CONTROL_CHARACTERS = strategies.sampled_from(
    [chr(code) for code in (*range(9), *range(10, 32), 127)]
)
_INVALID_LENGTHS = _byte_strings("+-0x_,;e1.\xb2 ").filter(
    lambda text: not text.strip().isdigit()
)
_INVALID_CHUNK_SIZES = _byte_strings("+-0x_g.,'").filter(
    lambda text: any(each not in b"0123456789abcdefABCDEF" for each in text)
)
_UNSUPPORTED_CODINGS = strategies.sampled_from(
    [b"identity", b"chunked, identity", b"xchunked", b"chunked;q=1", b"gzip"]
)


@strategies.composite
def _invalid_length(draw):
    first, second = (
        draw(_INVALID_LENGTHS),
        draw(_INVALID_LENGTHS | _byte_strings("0123456789")),
    )
    both = draw(strategies.booleans())
    lines = b"Content-Length: " + first + b"\r\n"
    if both:
        lines += b"Content-Length: " + second + b"\r\n"
    return _REQUEST_LINE + _HOST + lines + b"\r\n"


@strategies.composite
def _two_framings(draw):
    length = b"Content-Length: %d\r\n" % draw(strategies.integers(0, 99))
    lines = draw(strategies.permutations([length, _CHUNKED]))
    return _REQUEST_LINE + _HOST + b"".join(lines) + b"\r\n0\r\n\r\n"


@strategies.composite
def _unsupported_coding(draw):
    line = b"Transfer-Encoding: " + draw(_UNSUPPORTED_CODINGS) + b"\r\n"
    return _REQUEST_LINE + _HOST + line + b"\r\n0\r\n\r\n"


@strategies.composite
def _invalid_chunk_size(draw):
    size = draw(_INVALID_CHUNK_SIZES)
    valid_chunks = draw(strategies.sampled_from([b"", b"3\r\nabc\r\n"]))
    body = valid_chunks + size + b"\r\n" + _HIDDEN + b"\r\n0\r\n\r\n"
    return _REQUEST_LINE + _HOST + _CHUNKED + b"\r\n" + body


@strategies.composite
def _invalid_header_name(draw):
    name = draw(_HEADER_NAMES).decode()
    index = draw(strategies.integers(1, len(name)))
    invalid = name[:index] + draw(_NON_TOKEN_CHARACTERS) + name[index:]
    line = invalid.encode("latin-1") + b": 5\r\n"
    return _REQUEST_LINE + _HOST + line + b"\r\n"


@strategies.composite
def _control_in_value(draw):
    value = (
        "a"
        + draw(_CONTROL_CHARACTERS)
        + draw(strategies.sampled_from(["", "b"]))
    )
    tail = draw(strategies.sampled_from([b"", b"Content-Length: 5\r\n"]))
    line = b"X-A: " + value.encode("latin-1") + b"\r\n"
    return _REQUEST_LINE + _HOST + line + tail + b"\r\n"


@strategies.composite
def _folded_header(draw):
    space = draw(strategies.sampled_from([b" ", b"\t", b"  "]))
    line = (
        b"X-A: a\r\n" + space + draw(strategies.sampled_from([b"b", _CHUNKED]))
    )
    return _REQUEST_LINE + _HOST + line.rstrip() + b"\r\n\r\n"


_MALFORMED_REQUEST_LINES = strategies.sampled_from(
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
def _malformed_request_line(draw):
    return draw(_MALFORMED_REQUEST_LINES) + _HOST + b"\r\n"


_KINDS = (
    _invalid_length(),
    _two_framings(),
    _unsupported_coding(),
    _invalid_chunk_size(),
    _invalid_header_name(),
    _control_in_value(),
    _folded_header(),
    _malformed_request_line(),
)


def _answers(address, data):
    """Send bytes and return all received until the peer closes."""
    received = b""
    with socket.create_connection(
        address, _ANSWER_TIMEOUT_SECONDS
    ) as connection:
        with contextlib.suppress(ConnectionError):
            connection.sendall(data)
            while part := connection.recv(65536):
                received += part
    return received


@when("{count:d} drawn ambiguous requests, each with another behind it")
def step_send_malformed(context, count):
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
        # Each failing request may wait for the whole timeout, so stop after
        # a few.
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
def step_each_refused_and_closed(context):
    assert not context.wrong, (len(context.wrong), context.wrong[:12])


@when("a chunked request with a trailer is followed by another")
def step_send_trailer(context):
    listener = context.fleet.nodes["n0"]["callers"]
    body = b"3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"
    first = _REQUEST_LINE + b"Host: x\r\n" + _CHUNKED + b"\r\n" + body
    last = _HIDDEN.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    address = (listener["host"], listener["port"])
    context.answers = _answers(address, first + last)


@then("both are served")
def step_both_served(context):
    got = context.answers
    assert got.count(b"HTTP/1.1 200 ") == got.count(b"HTTP/1.1 ") == 2, got


@then("no runner saw any of them")
def step_none_reached_runner(context):
    runs = scenario.run_counts(context)
    assert not runs.get("hidden"), runs
