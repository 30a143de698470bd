"""Measures idle job nodes on the stand-in of the users' platform."""

import time

import attrs
from emulator import nodes
import psutil

VMS = 24
# Time for the nodes to finish their start, so that only idle costs count.
_SETTLE_SECONDS = 4.0
_MEASURE_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class IdleCost:
    """Cost of idle nodes; processor in cores, traffic in bytes a second.

    ``node_cpu`` is the mean of the nodes that don't schedule. Traffic is
    that of all nodes with the table, the VM service and the runners,
    divided by the nodes.
    """

    nodes: int
    node_cpu: float
    scheduler_cpu: float
    memory_bytes: int
    node_traffic: float


def measure(count: int) -> IdleCost:
    """Run idle nodes over 24 VMs for ten seconds."""
    with nodes.cluster(nodes=count, pools={"a": VMS // 2, "b": VMS // 2}) as (
        cluster
    ):
        time.sleep(_SETTLE_SECONDS)
        scheduler_pid = cluster.scheduler().process.pid
        processes = [psutil.Process(n.process.pid) for n in cluster.nodes]
        before = {each.pid: _cpu_seconds(each) for each in processes}
        bytes_before = _loopback_bytes()
        time.sleep(_MEASURE_SECONDS)
        traffic = (_loopback_bytes() - bytes_before) / _MEASURE_SECONDS / count
        cpu = {
            each.pid: (_cpu_seconds(each) - before[each.pid])
            / _MEASURE_SECONDS
            for each in processes
        }
        memory = max(each.memory_info().rss for each in processes)
        if cluster.scheduler().process.pid != scheduler_pid:
            raise RuntimeError(
                "another node became the scheduler during the measure"
            )
    scheduler_cpu = cpu.pop(scheduler_pid)
    return IdleCost(
        nodes=count,
        node_cpu=sum(cpu.values()) / len(cpu),
        scheduler_cpu=scheduler_cpu,
        memory_bytes=memory,
        node_traffic=traffic,
    )


def _cpu_seconds(process: psutil.Process) -> float:
    return sum(process.cpu_times()[:2])


def _loopback_bytes() -> int:
    return psutil.net_io_counters(pernic=True)["lo"].bytes_sent
