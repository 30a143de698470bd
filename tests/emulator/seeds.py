"""The command line of programs that play what seeds stand for."""

import argparse
import concurrent.futures
import random

# Most lines that are printed of the problems of a series.
_MAX_PROBLEMS = 40


def add_options(description, *, count):
    """Return a parser with the options of all such programs.

    Args:
        description: The program's description.
        count: How many seeds are played by default.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--count", type=int, default=count)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--at-once", type=int, default=3)
    return parser


def play_all(options, report):
    """Play seeds in a row, from a drawn one if none is given.

    Args:
        options: The parsed options.
        report: Plays a seed, prints its result and tells if it was good.

    Returns:
        The exit code: 1 if any was not.
    """
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1 << 30)
    seeds = range(first, first + options.count)
    with concurrent.futures.ThreadPoolExecutor(options.at_once) as pool:
        good = list(pool.map(report, seeds))
    print(f"{good.count(True)} good, {good.count(False)} wrong")
    return 0 if all(good) else 1


def play_series(play, *, description, nodes):
    """Play new series of disruptions by the options of the command line.

    Args:
        play: Takes a seed and a number of nodes, and returns a line for each
            problem.
        description: The program's description.
        nodes: How many nodes are played with by default.

    Returns:
        The exit code: 1 if any series had a problem.
    """
    parser = add_options(description, count=50)
    parser.add_argument("--nodes", type=int, default=nodes)
    options = parser.parse_args()
    return play_all(
        options, lambda seed: _report_series(play, seed, options.nodes)
    )


def _report_series(play, seed, node_count):
    try:
        problems = play(seed, node_count)
    except (AssertionError, OSError) as error:
        problems = [f"it could not be played: {error}"]
    print(f"{seed}: {'WRONG' if problems else 'good'}", flush=True)
    for line in problems[:_MAX_PROBLEMS]:
        print(f"  {line}", flush=True)
    return not problems
