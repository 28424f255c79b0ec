"""Measures load stalls, batch occupancy, fairness and overload on seeded traces."""

from concurrent.futures import ProcessPoolExecutor
from functools import partial

from bench import output
from bench.policies import (
    BaselineRun,
    ThornlatchRun,
    choose_by_hash,
    choose_least_loaded,
    count_offline_loads,
)
from bench.simulation import TOKEN_S
from bench.traces import KITABU, MANDACARU, TraceSettings, make_trace

SEED = 11
build_row = partial(output.build_row, digits=4)
FAIR_SEEDS = (11, 12, 13)
WORKERS = 8
JOB_TIMEOUT_S = 120.0
# Requests that arrive per load that the store allows. At this rate the offline bound
# uses about two thirds of the allowed loads.
REQUESTS_PER_LOAD = 3.6
LIGHT_REQUESTS_PER_LOAD = 2.4
STALL_DURATION_S = 500.0
SATURATED_RATE = 110.0
SATURATED_DURATION_S = 120.0
FAIR_DURATION_S = 300.0
FLOOD_FROM_S = 150.0
WARM_UP_S = 40.0


def measure():
    """Return the rows of all measurements of the scheduler.

    Returns
    -------
    list of dict
        Keys name, value, unit, bound, baseline and seed.
    """
    with ProcessPoolExecutor(WORKERS) as pool:
        jobs, fair_jobs = [], []
        for deployment in (KITABU, MANDACARU):
            jobs.append(pool.submit(measure_stalls, deployment))
            jobs.append(pool.submit(measure_light_stalls, deployment))
            jobs.append(pool.submit(measure_occupancy, deployment))
            jobs.append(pool.submit(measure_overload, deployment))
            fair_jobs.append(
                [pool.submit(measure_fairness, deployment, s) for s in FAIR_SEEDS]
            )
        rows = [row for job in jobs for row in job.result(JOB_TIMEOUT_S)]
        for deployment_jobs in fair_jobs:
            rows += choose_worst([job.result(JOB_TIMEOUT_S) for job in deployment_jobs])
        return rows


def choose_worst(rows):
    """Return the rows of all seeds without bounds, then the worst with its bound."""
    worst = max(rows, key=lambda row: row["value"])
    by_seed = [row | {"name": f"{row['name']}.seed", "bound": None} for row in rows]
    return [*by_seed, worst]


def measure_stalls(deployment, seed=SEED):
    """Measure stalls and loads at the rate of `REQUESTS_PER_LOAD`.

    At this rate the offline bound uses about two thirds of the store's rate.
    """
    result, best_baseline_s, offline_loads = compare_stalls(
        deployment, REQUESTS_PER_LOAD, seed
    )
    stall_s = result.compute_stall_s_per_1000()
    name = deployment.name
    return [
        build_row(
            f"placement.stall_seconds_per_1000_requests.{name}",
            stall_s,
            "s",
            best_baseline_s / 2,
            best_baseline_s,
            seed=seed,
        ),
        build_row(
            f"placement.loads_over_offline_bound.{name}",
            result.loads / offline_loads,
            "ratio",
            1.3,
            offline_loads,
            seed=seed,
        ),
    ]


def measure_light_stalls(deployment, seed=SEED):
    """Measure stalls at a rate that the store sustains with the better baseline too."""
    result, best_baseline_s, _ = compare_stalls(
        deployment, LIGHT_REQUESTS_PER_LOAD, seed
    )
    name = f"placement.light_stall_seconds_per_1000_requests.{deployment.name}"
    return [
        build_row(
            name,
            result.compute_stall_s_per_1000(),
            "s",
            best_baseline_s / 2,
            best_baseline_s,
            seed=seed,
        )
    ]


def compare_stalls(deployment, requests_per_load, seed):
    """Return thornlatch's result, the better baseline's stalls and offline loads.

    Stalls are in seconds per 1000 requests.
    """
    rate = requests_per_load * deployment.store.loads_per_s
    trace = make_trace(TraceSettings(seed, rate, STALL_DURATION_S))
    result = ThornlatchRun(deployment, trace).run()
    baselines_s = [
        BaselineRun(deployment, trace, choose).run().compute_stall_s_per_1000()
        for choose in (choose_least_loaded, choose_by_hash)
    ]
    slots = sum(target.adapter_slots for target in deployment.targets)
    offline_loads = count_offline_loads([arrival.adapter for arrival in trace], slots)
    return result, min(baselines_s), offline_loads


def measure_occupancy(deployment, seed=SEED):
    trace = make_trace(TraceSettings(seed, SATURATED_RATE, SATURATED_DURATION_S))
    result = ThornlatchRun(deployment, trace).run()
    name = f"dispatch.batch_occupancy_ratio.{deployment.name}"
    ratio = get_occupancy(deployment, result)
    return [build_row(name, ratio, "ratio", 0.9, None, seed=seed)]


def get_occupancy(deployment, result):
    slots = sum(target.batch_slots for target in deployment.targets)
    busy_s = result.compute_busy_s(WARM_UP_S, SATURATED_DURATION_S)
    return busy_s / slots / (SATURATED_DURATION_S - WARM_UP_S)


def measure_fairness(deployment, seed=SEED):
    boosted = "organisation-0"
    rate = REQUESTS_PER_LOAD * deployment.store.loads_per_s
    settings = TraceSettings(seed, rate, FAIR_DURATION_S)
    normal_waits = get_waits(deployment, settings)
    flooded_waits = get_waits(
        deployment,
        TraceSettings(seed, rate, FAIR_DURATION_S, boosted, 5.0, FLOOD_FROM_S),
    )
    before = max(wait for name, wait in normal_waits.items() if name != boosted)
    after = max(wait for name, wait in flooded_waits.items() if name != boosted)
    name = f"fairness.worst_organisation_p95_ratio.{deployment.name}"
    return build_row(name, after / before, "ratio", 1.2, before, seed=seed)


def get_waits(deployment, settings):
    """Return the 95th percentile of each organisation's wait for a slot in seconds."""
    trace = make_trace(settings)
    result = ThornlatchRun(deployment, trace).run()
    waits = {}
    for arrival in trace:
        if arrival.at >= FLOOD_FROM_S:
            waits.setdefault(arrival.organisation, []).append(
                result.wait_s[arrival.index]
            )
    return {
        name: sorted(wait_times_s)[int(len(wait_times_s) * 0.95)]
        for name, wait_times_s in waits.items()
    }


def measure_overload(deployment, seed=SEED):
    trace = make_trace(
        TraceSettings(seed, 2 * get_capacity(deployment), SATURATED_DURATION_S)
    )
    result = ThornlatchRun(deployment, trace).run()
    good_tokens = sum(
        arrival.tokens
        for arrival in trace
        if WARM_UP_S
        <= result.finished_at.get(arrival.index, 0.0)
        <= min(arrival.at + arrival.deadline_s, SATURATED_DURATION_S)
    )
    slots = sum(target.batch_slots for target in deployment.targets)
    best_tokens = slots / TOKEN_S * (SATURATED_DURATION_S - WARM_UP_S)
    false_refusals = len(result.refused & result.started)
    return [
        build_row(
            f"overload.goodput_ratio.{deployment.name}",
            good_tokens / best_tokens,
            "ratio",
            0.9,
            None,
            seed=seed,
        ),
        build_row(
            f"overload.false_not_run.{deployment.name}",
            false_refusals,
            "count",
            0,
            None,
            seed=seed,
        ),
    ]


def get_capacity(deployment):
    """Return the requests per second that fill all batch slots."""
    slots = sum(target.batch_slots for target in deployment.targets)
    trace = make_trace(TraceSettings(SEED, 100.0, 100.0))
    mean_s = sum(a.tokens for a in trace) / len(trace) * TOKEN_S
    return slots / mean_s
