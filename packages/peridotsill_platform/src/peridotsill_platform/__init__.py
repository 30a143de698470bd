"""Clients of the platform's table, object store, VM list and workers."""

from peridotsill_platform._group_commit import GroupCommitter
from peridotsill_platform._http_table import HttpTable
from peridotsill_platform._patient import PatientTable
from peridotsill_platform._patient import TableWithin
from peridotsill_platform._services import ListedVm
from peridotsill_platform._services import ObjectStore
from peridotsill_platform._services import TaskOrder
from peridotsill_platform._services import TaskPhase
from peridotsill_platform._services import TaskStatus
from peridotsill_platform._services import VmList
from peridotsill_platform._services import VmPhase
from peridotsill_platform._services import Workers
from peridotsill_platform._table import Check
from peridotsill_platform._table import commit_marked
from peridotsill_platform._table import CommitFailure
from peridotsill_platform._table import CommitResult
from peridotsill_platform._table import make_table
from peridotsill_platform._table import ReadResult
from peridotsill_platform._table import ScanResult
from peridotsill_platform._table import Table
from peridotsill_platform._table import table_client
from peridotsill_platform._table import TableChanges
from peridotsill_platform._table import TableFactory
from peridotsill_platform._table import Transaction
from peridotsill_platform._table import WatchedTable
from peridotsill_platform._table import WatchResult
from peridotsill_platform._table import Write

__all__ = [
    "Check",
    "CommitFailure",
    "CommitResult",
    "GroupCommitter",
    "HttpTable",
    "ListedVm",
    "ObjectStore",
    "PatientTable",
    "ReadResult",
    "ScanResult",
    "Table",
    "TableChanges",
    "TableFactory",
    "TableWithin",
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
    "commit_marked",
    "make_table",
    "table_client",
]
