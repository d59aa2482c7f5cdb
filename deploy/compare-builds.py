#!/usr/bin/env python3
"""Plays the same days with two builds of this repository and prints a table of the differences.

Each pair of plays has the same day and seed. The plays of a pair run one after the other, so that both
builds see about the same load of the machine. Processor time is not counted. The journal entries of the
plays are in the clones below --work; copy them into journal/.

A step that would begin just after the end of a day counts as failed and costs about 0.3, so a shift of
a fraction of a second can change the worth of a play by as much. Compare a difference with its standard
error, and with the steps that were asked.

Example:

    deploy/compare-builds.py --bench BENCH --site SITE --old HEAD~20 --new HEAD \\
        --days deploy/days/silent-store-cuts.toml quiet-1 --seeds 1-10 --jobs 3 --work ../compare
"""

import argparse
import concurrent.futures
import dataclasses
import math
import pathlib
import re
import statistics
import subprocess

WORTH = re.compile(r"^worth (-?[0-9.]+) = ", re.MULTILINE)
STEPS = re.compile(r": (\d+) steps asked", re.MULTILINE)
RUN_ID = re.compile(r"^snapshot (\w+)", re.MULTILINE)
BROKEN_RULE = re.compile(r"^\s*([A-Z]{3,}) at +[0-9.]+ s", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class Play:
    """The result of a play; the worth is None if the play failed."""

    worth: float | None
    steps: int
    run_id: str
    broken_rules: list[str]


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, type=pathlib.Path, help="the bench's program")
    parser.add_argument("--site", required=True, type=pathlib.Path, help="the site file")
    parser.add_argument("--old", required=True, help="a commit")
    parser.add_argument("--new", required=True, help="a commit")
    parser.add_argument("--days", required=True, nargs="+", help="names of days, or day files")
    parser.add_argument("--seeds", default="1-5", help="a range such as 1-10")
    parser.add_argument("--jobs", type=int, default=2, help="pairs that are played at once")
    parser.add_argument("--work", required=True, type=pathlib.Path, help="folder for the clones and logs")
    return parser.parse_args()


def clone(commit, folder):
    """Clones this repository at a commit, unless the folder exists."""
    commit = subprocess.check_output(["git", "rev-parse", commit], text=True).strip()
    if not folder.exists():
        subprocess.run(["git", "clone", "-q", ".", folder], check=True)
        subprocess.run(["git", "-C", folder, "checkout", "-q", commit], check=True)
    return commit


def parse_play(text):
    worth = WORTH.search(text)
    run_id = RUN_ID.search(text)
    return Play(
        worth=float(worth.group(1)) if worth else None,
        steps=sum(int(steps) for steps in STEPS.findall(text)),
        run_id=run_id.group(1) if run_id else "--",
        broken_rules=sorted(set(BROKEN_RULE.findall(text))),
    )


def play(arguments, build, day, seed):
    path = pathlib.Path(day)
    command = [
        arguments.bench.resolve(), "run", arguments.site.resolve(),
        path.resolve() if path.exists() else day,
        "--seed", str(seed), "--no-cpu", "--why", f"compare builds {arguments.old} and {arguments.new} ({build})",
    ]
    log = arguments.work / f"{build}-{path.stem}-{seed}.log"
    with log.open("w") as output:
        subprocess.run(command, cwd=arguments.work / build, stdout=output, stderr=subprocess.STDOUT, check=False)
    return parse_play(log.read_text(errors="replace"))


def play_pair(arguments, day, seed):
    order = ["old", "new"] if seed % 2 else ["new", "old"]
    return day, seed, {build: play(arguments, build, day, seed) for build in order}


def describe(values):
    if not values:
        return "--"
    return f"{statistics.mean(values):.3f} +- {statistics.pstdev(values):.3f}"


def describe_difference(differences):
    """Returns the mean of the differences of the pairs with its standard error."""
    if len(differences) < 2:
        return "--"
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return f"{statistics.mean(differences):+.3f} (standard error {error:.3f})"


def print_row(name, pairs):
    complete = [pair for pair in pairs if None not in (pair["old"].worth, pair["new"].worth)]
    old = [pair["old"].worth for pair in complete]
    new = [pair["new"].worth for pair in complete]
    difference = describe_difference([after - before for before, after in zip(old, new)])
    steps = " and ".join(str(sum(pair[build].steps for pair in complete)) for build in ("old", "new"))
    rules = [f"{build} {rule}" for pair in pairs for build in ("old", "new") for rule in pair[build].broken_rules]
    print(f"| {name} | {len(complete)} of {len(pairs)} | {describe(old)} | {describe(new)} | {difference} "
          f"| {steps} | {', '.join(rules) or 'none'} |", flush=True)


def print_runs(results):
    for day, seed, pair in sorted(results, key=lambda result: result[:2]):
        plays = ", ".join(f"{build} {pair[build].worth} ({pair[build].run_id})" for build in ("old", "new"))
        print(f"- {pathlib.Path(day).stem}, seed {seed}: {plays}")


def main():
    arguments = parse_arguments()
    arguments.work.mkdir(parents=True, exist_ok=True)
    for build in ("old", "new"):
        clone(getattr(arguments, build), arguments.work / build)
    first, last = (int(part) for part in (arguments.seeds.split("-") * 2)[:2])
    tasks = [(day, seed) for seed in range(first, last + 1) for day in arguments.days]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(lambda task: play_pair(arguments, *task), tasks))
    print(f"| day | pairs | {arguments.old} | {arguments.new} | difference | steps asked | rules broken |\n"
          "|---|---|---|---|---|---|---|")
    for day in arguments.days:
        print_row(pathlib.Path(day).stem, [pair for name, _, pair in results if name == day])
    print_row("all", [pair for _, _, pair in results])
    print_runs(results)


if __name__ == "__main__":
    main()
