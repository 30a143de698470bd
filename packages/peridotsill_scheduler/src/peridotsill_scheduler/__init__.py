"""Scheduling decisions, computed without network, clock or threads."""

from peridotsill_scheduler._arrivals import Arrival
from peridotsill_scheduler._arrivals import ArrivalHistory
from peridotsill_scheduler._arrivals import ArrivalRates
from peridotsill_scheduler._availability import may_evict
from peridotsill_scheduler._circuit_breaker import CircuitBreaker
from peridotsill_scheduler._circuit_breaker import has_come_to_work
from peridotsill_scheduler._crashes import add_crash
from peridotsill_scheduler._crashes import counts_as_suspect
from peridotsill_scheduler._crashes import Crash
from peridotsill_scheduler._crashes import find_culprits
from peridotsill_scheduler._crashes import is_cleared
from peridotsill_scheduler._crashes import is_suspect
from peridotsill_scheduler._crashes import restart_pause_seconds
from peridotsill_scheduler._crashes import suspicion_group
from peridotsill_scheduler._demand import count_all
from peridotsill_scheduler._demand import CountStartable
from peridotsill_scheduler._demand import pool_demand
from peridotsill_scheduler._demand import PoolDemand
from peridotsill_scheduler._demand import PoolSupply
from peridotsill_scheduler._demand import wanted_vms
from peridotsill_scheduler._estimates import arrival_of
from peridotsill_scheduler._estimates import critical_path_seconds
from peridotsill_scheduler._estimates import Estimator
from peridotsill_scheduler._estimates import job_work
from peridotsill_scheduler._estimates import objective_seconds
from peridotsill_scheduler._estimates import remaining_run_seconds
from peridotsill_scheduler._estimates import remaining_work
from peridotsill_scheduler._evacuation import Evacuation
from peridotsill_scheduler._evacuation import plan_evacuation
from peridotsill_scheduler._lending import after_moves
from peridotsill_scheduler._lending import lending_policies
from peridotsill_scheduler._lending import lending_policy
from peridotsill_scheduler._lending import Move
from peridotsill_scheduler._lending import plan_fetches
from peridotsill_scheduler._lending import plan_moves
from peridotsill_scheduler._lending import spare_vms
from peridotsill_scheduler._maintenance import is_urgent
from peridotsill_scheduler._maintenance import MaintenancePhase
from peridotsill_scheduler._maintenance import must_evict
from peridotsill_scheduler._maintenance import plan_maintenance
from peridotsill_scheduler._maintenance import seconds_needed
from peridotsill_scheduler._maintenance import WaveTerms
from peridotsill_scheduler._maintenance import WaveVm
from peridotsill_scheduler._model import AdviceTiming
from peridotsill_scheduler._model import JobSpec
from peridotsill_scheduler._model import MAX_TASKS_PER_STEP
from peridotsill_scheduler._model import PoolSettings
from peridotsill_scheduler._model import Queue
from peridotsill_scheduler._model import Resources
from peridotsill_scheduler._model import Step
from peridotsill_scheduler._model import Team
from peridotsill_scheduler._order import order_jobs
from peridotsill_scheduler._order import order_policies
from peridotsill_scheduler._order import order_policy
from peridotsill_scheduler._order import OrderContext
from peridotsill_scheduler._oversized import oversized_reason
from peridotsill_scheduler._pacing import plan_filler_speed
from peridotsill_scheduler._pacing import TailLatency
from peridotsill_scheduler._placement import Placer
from peridotsill_scheduler._placement import Start
from peridotsill_scheduler._placement_policies import Placement
from peridotsill_scheduler._placement_policies import placement_policies
from peridotsill_scheduler._placement_policies import placement_policy
from peridotsill_scheduler._progress import ACTIVE_PHASES
from peridotsill_scheduler._progress import advisor_answer_for
from peridotsill_scheduler._progress import AdvisorAnswer
from peridotsill_scheduler._progress import FINAL_STATES
from peridotsill_scheduler._progress import has_started
from peridotsill_scheduler._progress import Job
from peridotsill_scheduler._progress import JobState
from peridotsill_scheduler._progress import LATE_FACTOR
from peridotsill_scheduler._progress import make_tasks
from peridotsill_scheduler._progress import open_occurrences
from peridotsill_scheduler._progress import ready_tasks
from peridotsill_scheduler._progress import refresh_state
from peridotsill_scheduler._progress import Task
from peridotsill_scheduler._progress import TaskPhase
from peridotsill_scheduler._progress import tasks_of
from peridotsill_scheduler._quotas import Quotas
from peridotsill_scheduler._quotas import StartableWork
from peridotsill_scheduler._reservation_memory import ReservationChange
from peridotsill_scheduler._reservation_memory import ReservationMemory
from peridotsill_scheduler._reservations import ActiveRun
from peridotsill_scheduler._returns import NeedHistory
from peridotsill_scheduler._returns import plan_returns
from peridotsill_scheduler._returns import return_policies
from peridotsill_scheduler._returns import return_policy
from peridotsill_scheduler._round import plan_starts
from peridotsill_scheduler._team_rates import plausible_arrival_ms
from peridotsill_scheduler._team_rates import RateClass
from peridotsill_scheduler._team_rates import TeamRates
from peridotsill_scheduler._vms import TRIAL_REASON
from peridotsill_scheduler._vms import VmView

__all__ = [
    "ACTIVE_PHASES",
    "FINAL_STATES",
    "LATE_FACTOR",
    "MAX_TASKS_PER_STEP",
    "TRIAL_REASON",
    "ActiveRun",
    "AdviceTiming",
    "AdvisorAnswer",
    "Arrival",
    "ArrivalHistory",
    "ArrivalRates",
    "CircuitBreaker",
    "CountStartable",
    "Crash",
    "Estimator",
    "Evacuation",
    "Job",
    "JobSpec",
    "JobState",
    "MaintenancePhase",
    "Move",
    "NeedHistory",
    "OrderContext",
    "Placement",
    "Placer",
    "PoolDemand",
    "PoolSettings",
    "PoolSupply",
    "Queue",
    "Quotas",
    "RateClass",
    "ReservationChange",
    "ReservationMemory",
    "Resources",
    "Start",
    "StartableWork",
    "Step",
    "TailLatency",
    "Task",
    "TaskPhase",
    "Team",
    "TeamRates",
    "VmView",
    "WaveTerms",
    "WaveVm",
    "add_crash",
    "advisor_answer_for",
    "after_moves",
    "arrival_of",
    "count_all",
    "counts_as_suspect",
    "critical_path_seconds",
    "find_culprits",
    "has_come_to_work",
    "has_started",
    "is_cleared",
    "is_suspect",
    "is_urgent",
    "job_work",
    "lending_policies",
    "lending_policy",
    "make_tasks",
    "may_evict",
    "must_evict",
    "objective_seconds",
    "open_occurrences",
    "order_jobs",
    "order_policies",
    "order_policy",
    "oversized_reason",
    "placement_policies",
    "placement_policy",
    "plan_evacuation",
    "plan_fetches",
    "plan_filler_speed",
    "plan_maintenance",
    "plan_moves",
    "plan_returns",
    "plan_starts",
    "plausible_arrival_ms",
    "pool_demand",
    "ready_tasks",
    "refresh_state",
    "remaining_run_seconds",
    "remaining_work",
    "restart_pause_seconds",
    "return_policies",
    "return_policy",
    "seconds_needed",
    "spare_vms",
    "suspicion_group",
    "tasks_of",
    "wanted_vms",
]
