"""Judges the table's whole history, transaction by transaction."""

import attrs


@attrs.define(kw_only=True)
class Finding:
    """A broken promise, at the commit that broke it."""

    revision: int
    what: str


class HistoryChecker:
    """Replays commits and collects what they broke."""

    def __init__(self) -> None:
        self.rows: dict[str, dict] = {}
        self.versions: dict[str, int] = {}
        self.findings: list[Finding] = []
        self.moves = 0
        self.disruptions = 0
        self.config_version = 0
        self.revision = 0

    def replay(self, history: list[dict]) -> list[Finding]:
        """Check all commits; return the findings."""
        for commit in history:
            self.revision = commit["revision"]
            before = dict(self.rows)
            self._apply(commit)
            for write in commit["writes"]:
                self._check(write["key"], before, commit)
            if any(w["key"].startswith("vms/") for w in commit["writes"]):
                self._check_budgets(before, commit)
        return self.findings

    def _apply(self, commit: dict) -> None:
        for write in commit["writes"]:
            if write["value"] is None:
                self.rows.pop(write["key"], None)
            else:
                self.rows[write["key"]] = write["value"]

    def found(self, what: str) -> None:
        """Note a broken promise."""
        self.findings.append(Finding(revision=self.revision, what=what))

    def _check(self, key: str, before: dict, commit: dict) -> None:
        old, new = before.get(key), self.rows.get(key)
        if old is None or new is None:
            return
        if key.startswith("vms/"):
            self._check_vm(key, old, new, commit)
        elif key.startswith("owners/") and new["epoch"] <= old["epoch"]:
            self.found(f"{key}: epoch {old['epoch']} to {new['epoch']}")
        elif key.startswith("waves/"):
            done = new["done"]
            if len(set(done)) < len(done):
                self.found(f"{key}: taken twice: {done}")
            if not set(old["done"]) <= set(done):
                self.found(f"{key}: forgot {set(old['done']) - set(done)}")
        elif key == "config/current":
            if new["version"] != old["version"] + 1:
                self.found(f"config {old['version']} to {new['version']}")

    def _check_vm(self, key: str, old: dict, new: dict, commit: dict) -> None:
        was, now = old.get("disruption"), new.get("disruption")
        if old["pool"] != new["pool"]:
            self.moves += 1
            if not was or was["target_pool"] != new["pool"]:
                self.found(f"{key}: moved without a granted move: {was}")
            self._check_fence(key, old["pool"], commit)
        if was and now and was["id"] != now["id"]:
            self.found(f"{key}: {now['id']} took it from {was['id']}")
        if was and now and was["step"] != now["step"]:
            self._check_fence(key, old["pool"], commit)
        if not was and now:
            self.disruptions += 1
            if now["step"] != "draining":
                self.found(f"{key}: begins at {now['step']}")

    def _check_fence(self, key: str, pool: str, commit: dict) -> None:
        checked = {check["key"] for check in commit["checks"]}
        if f"owners/{pool}" not in checked:
            self.found(f"{key}: a step without the owner's fence")

    def _check_budgets(self, before: dict, commit: dict) -> None:
        for key, pool in self.rows.items():
            if not key.startswith("pools/"):
                continue
            now = available(self.rows, pool["name"])
            was = available(before, pool["name"])
            if now < was and now < pool["min_available"]:
                self.found(
                    f"{key}: {now} left of {was}, budget"
                    f" {pool['min_available']}"
                )


def available(rows: dict, pool: str) -> int:
    """Count a pool's VMs that no disruption holds."""
    return sum(
        1
        for key, vm in rows.items()
        if key.startswith("vms/")
        and vm["pool"] == pool
        and not vm.get("disruption")
    )


def check(fleet) -> HistoryChecker:
    """Replay a fleet's history; fail on any finding."""
    checker = HistoryChecker()
    findings = checker.replay(fleet.platform(history=True)["history"])
    assert not findings, findings[:5]
    return checker
