"""Clients of the platform's table, object store, VM list and workers."""

from peridotsill_platform._adaptive_timeout import AdaptiveTimeoutTable
from peridotsill_platform._adaptive_timeout import TableWithTimeoutFactory
from peridotsill_platform._group_commit import GroupCommitter
from peridotsill_platform._http_table import HttpTable
from peridotsill_platform._services import ListedVm
from peridotsill_platform._services import ObjectStore
from peridotsill_platform._services import TaskOrder
from peridotsill_platform._services import TaskPhase
from peridotsill_platform._services import TaskStatus
from peridotsill_platform._services import VmList
from peridotsill_platform._services import VmPhase
from peridotsill_platform._services import Workers
from peridotsill_platform._table import Check
from peridotsill_platform._table import commit_with_marker
from peridotsill_platform._table import CommitFailure
from peridotsill_platform._table import CommitResult
from peridotsill_platform._table import make_table
from peridotsill_platform._table import ReadResult
from peridotsill_platform._table import REJECTED_STATUSES
from peridotsill_platform._table import ScanResult
from peridotsill_platform._table import Table
from peridotsill_platform._table import table_client
from peridotsill_platform._table import TableChanges
from peridotsill_platform._table import TableFactory
from peridotsill_platform._table import TableLimits
from peridotsill_platform._table import Transaction
from peridotsill_platform._table import WatchedTable
from peridotsill_platform._table import WatchResult
from peridotsill_platform._table import Write

__all__ = [
    "REJECTED_STATUSES",
    "AdaptiveTimeoutTable",
    "Check",
    "CommitFailure",
    "CommitResult",
    "GroupCommitter",
    "HttpTable",
    "ListedVm",
    "ObjectStore",
    "ReadResult",
    "ScanResult",
    "Table",
    "TableChanges",
    "TableFactory",
    "TableLimits",
    "TableWithTimeoutFactory",
    "TaskOrder",
    "TaskPhase",
    "TaskStatus",
    "Transaction",
    "VmList",
    "VmPhase",
    "WatchResult",
    "WatchedTable",
    "Workers",
    "Write",
    "commit_with_marker",
    "make_table",
    "table_client",
]
