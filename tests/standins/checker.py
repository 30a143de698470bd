"""Checks that each commit in the table's history keeps its invariants."""

import attrs


@attrs.define(kw_only=True)
class Violation:
    """An invariant that a commit violated."""

    revision: int
    description: str


class HistoryChecker:
    """Replays commits and collects the invariants that they violated."""

    def __init__(self) -> None:
        self.rows: dict[str, dict] = {}
        self.versions: dict[str, int] = {}
        self.violations: list[Violation] = []
        self.moves = 0
        self.disruptions = 0
        self.config_version = 0
        self.revision = 0

    def replay(self, history: list[dict]) -> list[Violation]:
        """Check all commits; return the violations."""
        for commit in history:
            self.revision = commit["revision"]
            before = dict(self.rows)
            self._apply(commit)
            for write in commit["writes"]:
                self._check_row(write["key"], before, commit)
            if any(
                write["key"].startswith("vms/") for write in commit["writes"]
            ):
                self._check_budgets(before, commit)
        return self.violations

    def _apply(self, commit: dict) -> None:
        for write in commit["writes"]:
            if write["value"] is None:
                self.rows.pop(write["key"], None)
            else:
                self.rows[write["key"]] = write["value"]

    def add_violation(self, description: str) -> None:
        """Record a violation by the present commit."""
        self.violations.append(
            Violation(revision=self.revision, description=description)
        )

    def _check_row(self, key: str, before: dict, commit: dict) -> None:
        old, new = before.get(key), self.rows.get(key)
        if old is None or new is None:
            return
        if key.startswith("vms/"):
            self._check_vm(key, old, new, commit)
        elif key.startswith("owners/") and new["epoch"] <= old["epoch"]:
            self.add_violation(
                f"{key}: epoch {old['epoch']} to {new['epoch']}"
            )
        elif key.startswith("waves/"):
            done = new["done"]
            if len(set(done)) < len(done):
                self.add_violation(f"{key}: VM counted twice as done: {done}")
            if not set(old["done"]) <= set(done):
                self.add_violation(
                    f"{key}: no longer done: {set(old['done']) - set(done)}"
                )
        elif key == "config/current":
            if new["version"] != old["version"] + 1:
                self.add_violation(
                    f"config {old['version']} to {new['version']}"
                )

    def _check_vm(self, key: str, old: dict, new: dict, commit: dict) -> None:
        previous, current = old.get("disruption"), new.get("disruption")
        if old["pool"] != new["pool"]:
            self.moves += 1
            if not previous or previous["target_pool"] != new["pool"]:
                self.add_violation(
                    f"{key}: pool changed without a granted move: {previous}"
                )
            self._check_fence(key, old["pool"], commit)
        if previous and current and previous["id"] != current["id"]:
            self.add_violation(
                f"{key}: disruption {current['id']} replaced {previous['id']}"
            )
        if previous and current and previous["step"] != current["step"]:
            self._check_fence(key, old["pool"], commit)
        if not previous and current:
            self.disruptions += 1
            if current["step"] != "draining":
                self.add_violation(
                    f"{key}: disruption begins at step {current['step']}"
                )

    def _check_fence(self, key: str, pool: str, commit: dict) -> None:
        checked = {check["key"] for check in commit["checks"]}
        if f"owners/{pool}" not in checked:
            self.add_violation(
                f"{key}: changed without a check of the owner's row"
            )

    def _check_budgets(self, before: dict, commit: dict) -> None:
        for key, pool in self.rows.items():
            if not key.startswith("pools/"):
                continue
            count_after = count_available(self.rows, pool["name"])
            count_before = count_available(before, pool["name"])
            if (
                count_after < count_before
                and count_after < pool["min_available"]
            ):
                self.add_violation(
                    f"{key}: {count_after} left of {count_before}, budget"
                    f" {pool['min_available']}"
                )


def count_available(rows: dict, pool: str) -> int:
    """Count a pool's VMs without a disruption."""
    return sum(
        1
        for key, vm in rows.items()
        if key.startswith("vms/")
        and vm["pool"] == pool
        and not vm.get("disruption")
    )


def check(fleet) -> HistoryChecker:
    """Replay a fleet's history; fail on any violation."""
    checker = HistoryChecker()
    violations = checker.replay(
        fleet.control_platform(history=True)["history"]
    )
    assert not violations, violations[:5]
    return checker
