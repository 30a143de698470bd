"""The job service: callers' job queues and the scheduler of the VMs."""

from peridotsill_jobs._inspection import Inspector
from peridotsill_jobs._live_settings import SettingsFile
from peridotsill_jobs._logs import log
from peridotsill_jobs._logs import logging_to_stdout
from peridotsill_jobs._node import JobNode
from peridotsill_jobs._node import running_job_node
from peridotsill_jobs._ports import AdviceTicket
from peridotsill_jobs._ports import Advisor
from peridotsill_jobs._ports import Documents
from peridotsill_jobs._ports import EndKind
from peridotsill_jobs._ports import JobsConfig
from peridotsill_jobs._ports import Keys
from peridotsill_jobs._ports import PlatformPorts
from peridotsill_jobs._ports import ReportedEnd
from peridotsill_jobs._ports import ReportedRun
from peridotsill_jobs._ports import RunnerCall
from peridotsill_jobs._ports import RunnerCalls
from peridotsill_jobs._ports import RunnerEntry
from peridotsill_jobs._ports import RunnerReport
from peridotsill_jobs._ports import RunnerState
from peridotsill_jobs._ports import StartOrder
from peridotsill_jobs._ports import TaskName
from peridotsill_jobs._ports import TeamEntry
from peridotsill_jobs._ports import VmRecord
from peridotsill_jobs._ports import VmService
from peridotsill_jobs._ports import VmState
from peridotsill_jobs._ports import WaveOrder
from peridotsill_jobs._settings import Bounds
from peridotsill_jobs._settings import job_platform
from peridotsill_jobs._settings import JobNodeSettings
from peridotsill_jobs._settings import load_job_settings
from peridotsill_jobs._settings import make_ports
from peridotsill_jobs._team_keys import key_digest

__all__ = [
    "AdviceTicket",
    "Advisor",
    "Bounds",
    "Documents",
    "EndKind",
    "Inspector",
    "JobNode",
    "JobNodeSettings",
    "JobsConfig",
    "Keys",
    "PlatformPorts",
    "ReportedEnd",
    "ReportedRun",
    "RunnerCall",
    "RunnerCalls",
    "RunnerEntry",
    "RunnerReport",
    "RunnerState",
    "SettingsFile",
    "StartOrder",
    "TaskName",
    "TeamEntry",
    "VmRecord",
    "VmService",
    "VmState",
    "WaveOrder",
    "job_platform",
    "key_digest",
    "load_job_settings",
    "log",
    "logging_to_stdout",
    "make_ports",
    "running_job_node",
]
