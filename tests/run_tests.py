"""Runs the scenarios, a few features at a time, and counts the results.

Scenarios listed in KNOWN-RED.txt may fail: they are run and their failures
printed, but not counted as failed. The last line is ``N passed, N failed``.
Arguments are names of features; without any, all are run.
"""

import collections.abc
import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_FEATURES = _ROOT / "tests" / "features"
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_PARALLEL_FEATURES = 3
# Features run alone, before the others: their time bounds hold only if
# nothing else loads the machine.
_EXCLUSIVE_FEATURES = frozenset({"client_limits", "overload"})
_FEATURE_TIMEOUT_SECONDS = 800


def main() -> int:
    feature_names = sys.argv[1:]
    # The longest first, so that none still runs when all others are done.
    feature_files = sorted(
        _FEATURES.glob("*.feature"), key=lambda file: -file.stat().st_size
    )
    features = [
        file
        for file in feature_files
        if not feature_names or file.stem in feature_names
    ]
    known_failures = _read_known_failures()
    passed: list[str] = []
    failed: list[str] = []
    for feature, results in _run_features(features):
        if not results:
            failed.append(f"{feature.stem}: no scenario ran")
        for name, status in results:
            print(f"{status:8} {feature.stem}: {name}", flush=True)
            (passed if status == "passed" else failed).append(name)
    expected_failures = [name for name in failed if name in known_failures]
    failed = [name for name in failed if name not in known_failures]
    for name in expected_failures:
        print(f"known red: {name}: {known_failures[name]}")
    for name in sorted(set(known_failures) & set(passed)):
        print(f"listed as known red, but passed: {name}")
    for name in failed:
        print(f"FAILED: {name}")
    if expected_failures:
        print(f"known red, not counted below: {len(expected_failures)}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


def _read_known_failures() -> dict[str, str]:
    if not _KNOWN_RED.exists():
        return {}
    entries = {}
    for line in _KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition(" | ")
            entries[name.strip()] = rest.strip()
    return entries


def _run_features(
    features: list[pathlib.Path],
) -> collections.abc.Iterator[tuple[pathlib.Path, list[tuple[str, str]]]]:
    exclusive = [each for each in features if each.stem in _EXCLUSIVE_FEATURES]
    yield from map(_run_feature, exclusive)
    others = [
        each for each in features if each.stem not in _EXCLUSIVE_FEATURES
    ]
    with concurrent.futures.ThreadPoolExecutor(_PARALLEL_FEATURES) as pool:
        yield from pool.map(_run_feature, others)


def _run_feature(
    feature: pathlib.Path,
) -> tuple[pathlib.Path, list[tuple[str, str]]]:
    with tempfile.TemporaryDirectory() as folder:
        report_file = pathlib.Path(folder) / "report.json"
        command = [
            sys.executable,
            "-m",
            "behave",
            "--no-color",
            "--format=plain",
            "--format=json",
            f"--outfile={folder}/plain.txt",
            f"--outfile={report_file}",
            str(feature),
        ]
        completed = subprocess.run(
            command,
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=_FEATURE_TIMEOUT_SECONDS,
        )
        results = _read_results(report_file)
        if completed.returncode or not results:
            print(
                completed.stdout[-6000:], completed.stderr[-3000:], flush=True
            )
            plain_file = pathlib.Path(folder) / "plain.txt"
            if plain_file.exists():
                print(plain_file.read_text()[-12000:], flush=True)
        return feature, results


def _read_results(report_file: pathlib.Path) -> list[tuple[str, str]]:
    try:
        data = json.loads(report_file.read_text())
    except (OSError, ValueError):
        return []
    return [
        (element["name"].strip(), element.get("status", "untested"))
        for feature in data
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


if __name__ == "__main__":
    sys.exit(main())
