"""An open-loop load generator, with a stand-in of the load balancer.

Requests are sent at their scheduled times, also while earlier ones have no
answer yet. Run as ``python -m standins.load PLAN`` where PLAN is a JSON
file; the results are written to the file that its ``output`` names. Tests
call `run`.
"""

import collections
import concurrent.futures
import json
import pathlib
import random
import sys
import threading
import time

import attrs
import urllib3

_READINESS_POLL_SECONDS = 0.1


class Balancer:
    """Picks ready nodes in turn, as the platform's load balancer does.

    It picks from all nodes if none is ready.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = list(addresses)
        self.ready_addresses = list(addresses)
        self.http = urllib3.PoolManager(
            maxsize=400, num_pools=100, retries=False
        )
        self.pick_count = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._poll_readiness, daemon=True
        )
        self.thread.start()

    def _poll_readiness(self) -> None:
        probe_pool = urllib3.PoolManager(maxsize=1, retries=False)
        while not self.stopped.wait(_READINESS_POLL_SECONDS):
            ready_addresses = []
            for address in list(self.addresses):
                try:
                    response = probe_pool.request(
                        "GET", f"http://{address}/readyz", timeout=1.0
                    )
                except urllib3.exceptions.HTTPError:
                    continue
                if response.status == 200:
                    ready_addresses.append(address)
            self.ready_addresses = ready_addresses

    def pick(self) -> str:
        self.pick_count += 1
        ready_addresses = self.ready_addresses or self.addresses
        return ready_addresses[self.pick_count % len(ready_addresses)]


@attrs.frozen(kw_only=True)
class ScheduledRequest:
    """A request to send ``at`` seconds after the start of the load."""

    at: float
    method: str = "GET"
    path: str = "/"
    body: str = ""
    headers: dict[str, str] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class Result:
    """The outcome of a request.

    ``response_matches`` tells that the response echoed the body or marker of
    this request, not of another. ``error`` is set if no complete response
    arrived.
    """

    marker: str
    status: int
    ran: str
    seconds: float
    response_matches: bool
    error: str = ""


def _send(balancer: Balancer, request: ScheduledRequest) -> Result:
    """Send one request and return its outcome."""
    marker = request.headers.get("X-Marker", "")
    started = time.monotonic()
    try:
        response = balancer.http.request(
            request.method,
            f"http://{balancer.pick()}{request.path}",
            body=request.body.encode() or None,
            headers=request.headers,
            timeout=60.0,
            redirect=False,
        )
    except urllib3.exceptions.HTTPError as error:
        seconds = time.monotonic() - started
        return Result(
            marker=marker,
            status=0,
            ran="",
            seconds=seconds,
            response_matches=False,
            error=repr(error),
        )
    ran = ""
    if response.status >= 400:
        try:
            ran = json.loads(response.data).get("ran", "")
        except ValueError:
            pass
    expected_body = (request.body or marker).encode()
    return Result(
        marker=marker,
        status=response.status,
        ran=ran,
        seconds=time.monotonic() - started,
        response_matches=response.data == expected_body,
    )


def run(
    balancer: Balancer, requests: list[ScheduledRequest], threads: int = 300
) -> list[Result]:
    """Send all requests at their times; return their results."""
    futures = []
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        for request in sorted(requests, key=lambda request: request.at):
            wait_seconds = started + request.at - time.monotonic()
            if wait_seconds > 0:
                time.sleep(wait_seconds)
            futures.append(pool.submit(_send, balancer, request))
        return [future.result() for future in futures]


def poisson_arrivals(
    rate: float, seconds: float, seed: int, prefix: str, **fields: object
) -> list[ScheduledRequest]:
    """Return Poisson arrivals at a mean rate of ``rate`` per second."""
    generator = random.Random(seed)
    requests = []
    at = generator.expovariate(rate)
    while at < seconds:
        marker = f"{prefix}-{len(requests)}"
        headers = {**fields.get("headers", {}), "X-Marker": marker}
        requests.append(
            ScheduledRequest(**{**fields, "at": at, "headers": headers})
        )
        at += generator.expovariate(rate)
    return requests


def count_outcomes(results: list[Result]) -> collections.Counter[str]:
    """Count the results by outcome."""
    counts: collections.Counter[str] = collections.Counter()
    for result in results:
        if result.error:
            counts["cut"] += 1
        elif result.status == 200:
            counts["served" if result.response_matches else "mismatched"] += 1
        else:
            counts[f"refused {result.status} ran {result.ran}"] += 1
    return counts


def main() -> None:
    plan = json.loads(pathlib.Path(sys.argv[1]).read_text())
    balancer = Balancer(plan["addresses"])
    requests = [ScheduledRequest(**each) for each in plan["requests"]]
    wait_seconds = plan["start_at"] - time.time()
    if wait_seconds > 0:
        time.sleep(wait_seconds)
    results = run(balancer, requests)
    lines = [attrs.asdict(each) for each in results]
    pathlib.Path(plan["output"]).write_text(json.dumps(lines))


if __name__ == "__main__":
    main()
