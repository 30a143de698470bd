"""A load tool: open-loop callers behind a stand-in for the balancer.

Requests are sent at their due times whatever became of earlier ones.
Run as ``python -m standins.load PLAN`` where PLAN is a JSON file; the
outcomes are written to its ``output``. Or use `Callers` in a test.
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

_POLL_SECONDS = 0.1


class Balancer:
    """Sends to the nodes that said to be ready, as a platform's would."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = list(addresses)
        self.ready = list(addresses)
        self.http = urllib3.PoolManager(
            maxsize=400, num_pools=100, retries=False
        )
        self.turn = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._poll, daemon=True)
        self.thread.start()

    def _poll(self) -> None:
        probe = urllib3.PoolManager(maxsize=1, retries=False)
        while not self.stopped.wait(_POLL_SECONDS):
            ready = []
            for address in list(self.addresses):
                try:
                    answer = probe.request(
                        "GET", f"http://{address}/readyz", timeout=1.0
                    )
                except urllib3.exceptions.HTTPError:
                    continue
                if answer.status == 200:
                    ready.append(address)
            self.ready = ready

    def pick(self) -> str:
        self.turn += 1
        ready = self.ready or self.addresses
        return ready[self.turn % len(ready)]


@attrs.frozen(kw_only=True)
class Shot:
    """One request to send; ``at`` counts from the start, in seconds."""

    at: float
    method: str = "GET"
    path: str = "/"
    body: str = ""
    headers: dict[str, str] = attrs.Factory(dict)


@attrs.frozen(kw_only=True)
class Result:
    """What became of a shot; ``error`` is set if the answer was cut."""

    marker: str
    status: int
    ran: str
    seconds: float
    own: bool
    error: str = ""


def fire(balancer: Balancer, shot: Shot) -> Result:
    """Send one request and judge its answer."""
    marker = shot.headers.get("X-Marker", "")
    started = time.monotonic()
    try:
        answer = balancer.http.request(
            shot.method,
            f"http://{balancer.pick()}{shot.path}",
            body=shot.body.encode() or None,
            headers=shot.headers,
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
            own=False,
            error=repr(error),
        )
    ran = ""
    if answer.status >= 400:
        try:
            ran = json.loads(answer.data).get("ran", "")
        except ValueError:
            pass
    expected = (shot.body or marker).encode()
    return Result(
        marker=marker,
        status=answer.status,
        ran=ran,
        seconds=time.monotonic() - started,
        own=answer.data == expected,
    )


def run(
    balancer: Balancer, shots: list[Shot], threads: int = 300
) -> list[Result]:
    """Send all shots at their times."""
    futures = []
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(threads) as pool:
        for shot in sorted(shots, key=lambda each: each.at):
            wait = started + shot.at - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            futures.append(pool.submit(fire, balancer, shot))
        return [future.result() for future in futures]


def steady(
    rate: float, seconds: float, seed: int, prefix: str, **shot: object
) -> list[Shot]:
    """Return Poisson arrivals at ``rate`` a second."""
    chance = random.Random(seed)
    shots = []
    at = chance.expovariate(rate)
    while at < seconds:
        marker = f"{prefix}-{len(shots)}"
        headers = {**shot.get("headers", {}), "X-Marker": marker}
        shots.append(Shot(**{**shot, "at": at, "headers": headers}))
        at += chance.expovariate(rate)
    return shots


def outcomes(results: list[Result]) -> collections.Counter[str]:
    """Count the results by outcome."""
    counts: collections.Counter[str] = collections.Counter()
    for each in results:
        if each.error:
            counts["cut"] += 1
        elif each.status == 200:
            counts["served" if each.own else "not own"] += 1
        else:
            counts[f"refused {each.status} ran {each.ran}"] += 1
    return counts


def main() -> None:
    plan = json.loads(pathlib.Path(sys.argv[1]).read_text())
    balancer = Balancer(plan["addresses"])
    shots = [Shot(**each) for each in plan["shots"]]
    wait = plan["start_at"] - time.time()
    if wait > 0:
        time.sleep(wait)
    results = run(balancer, shots)
    lines = [attrs.asdict(each) for each in results]
    pathlib.Path(plan["output"]).write_text(json.dumps(lines))


if __name__ == "__main__":
    main()
