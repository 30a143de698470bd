"""Core of peridotsill: resources, settings, decisions, slots and HTTP."""

from peridotsill._allocator import return_large_blocks
from peridotsill._bounded_connection import BoundedConnection
from peridotsill._call_loop import CallLoop
from peridotsill._call_loop import CallResult
from peridotsill._call_loop import JsonCall
from peridotsill._call_loop import JsonConnection
from peridotsill._call_loop import Timer
from peridotsill._codec import bounded
from peridotsill._codec import decode
from peridotsill._codec import decode_plain
from peridotsill._codec import encode
from peridotsill._codec import from_plain
from peridotsill._codec import TextEnum
from peridotsill._codec import to_plain
from peridotsill._counters import Counters
from peridotsill._decisions import Candidate
from peridotsill._decisions import Decision
from peridotsill._decisions import Explanation
from peridotsill._decisions import Journal
from peridotsill._hashing import rendezvous
from peridotsill._hashing import short_digest
from peridotsill._json_http import HttpProblem
from peridotsill._json_http import JsonApp
from peridotsill._json_http import JsonClient
from peridotsill._json_http import JsonRequest
from peridotsill._json_http import read_body
from peridotsill._json_http import Routes
from peridotsill._limit_hits import record as record_limit
from peridotsill._listener import Listener
from peridotsill._listener import ListenerOptions
from peridotsill._log_limiter import LogLimiter
from peridotsill._model import Config
from peridotsill._model import CONFIG_HISTORY_PREFIX
from peridotsill._model import CONFIG_KEY
from peridotsill._model import ConfigValues
from peridotsill._model import Disruption
from peridotsill._model import DisruptionKind
from peridotsill._model import DisruptionStep
from peridotsill._model import Job
from peridotsill._model import JobState
from peridotsill._model import JobUsage
from peridotsill._model import NodeRow
from peridotsill._model import Owner
from peridotsill._model import Pool
from peridotsill._model import resource_key
from peridotsill._model import RESOURCE_KINDS
from peridotsill._model import Service
from peridotsill._model import Vm
from peridotsill._model import Wave
from peridotsill._model import WaveState
from peridotsill._peer_limits import PeerLimits
from peridotsill._requests import Answer
from peridotsill._requests import Header
from peridotsill._requests import Problem
from peridotsill._requests import Ran
from peridotsill._requests import Request
from peridotsill._requests import RequestClass
from peridotsill._response_limits import ResponseLimits
from peridotsill._response_limits import set_process_limits
from peridotsill._settings import Address
from peridotsill._settings import advertised_address
from peridotsill._settings import Limits
from peridotsill._settings import load_settings
from peridotsill._settings import load_token
from peridotsill._settings import Settings
from peridotsill._settings import Timing
from peridotsill._slot_allocator import Hold
from peridotsill._slot_allocator import OutcomeFuture
from peridotsill._slot_allocator import Release
from peridotsill._slot_allocator import SlotAllocator
from peridotsill._slot_allocator import SlotAllocatorKind
from peridotsill._slot_allocator import SlotGrant
from peridotsill._slot_allocator import SlotRefusal
from peridotsill._slot_allocator import SlotReply
from peridotsill._slot_allocator import SlotRequest
from peridotsill._slot_allocator import SlotResult
from peridotsill._slot_allocator import VmSlotUsage
from peridotsill._view import Change
from peridotsill._view import ChangeType
from peridotsill._view import Row
from peridotsill._view import Scan
from peridotsill._view import TableView

__all__ = [
    "CONFIG_HISTORY_PREFIX",
    "CONFIG_KEY",
    "RESOURCE_KINDS",
    "Address",
    "Answer",
    "BoundedConnection",
    "CallLoop",
    "CallResult",
    "Candidate",
    "Change",
    "ChangeType",
    "Config",
    "ConfigValues",
    "Counters",
    "Decision",
    "Disruption",
    "DisruptionKind",
    "DisruptionStep",
    "Explanation",
    "Header",
    "Hold",
    "HttpProblem",
    "Job",
    "JobState",
    "JobUsage",
    "Journal",
    "JsonApp",
    "JsonCall",
    "JsonClient",
    "JsonConnection",
    "JsonRequest",
    "Limits",
    "Listener",
    "ListenerOptions",
    "LogLimiter",
    "NodeRow",
    "OutcomeFuture",
    "Owner",
    "PeerLimits",
    "Pool",
    "Problem",
    "Ran",
    "Release",
    "Request",
    "RequestClass",
    "ResponseLimits",
    "Routes",
    "Row",
    "Scan",
    "Service",
    "Settings",
    "SlotAllocator",
    "SlotAllocatorKind",
    "SlotGrant",
    "SlotRefusal",
    "SlotReply",
    "SlotRequest",
    "SlotResult",
    "TableView",
    "TextEnum",
    "Timer",
    "Timing",
    "Vm",
    "VmSlotUsage",
    "Wave",
    "WaveState",
    "advertised_address",
    "bounded",
    "decode",
    "decode_plain",
    "encode",
    "from_plain",
    "load_settings",
    "load_token",
    "read_body",
    "record_limit",
    "rendezvous",
    "resource_key",
    "return_large_blocks",
    "set_process_limits",
    "short_digest",
    "to_plain",
]
