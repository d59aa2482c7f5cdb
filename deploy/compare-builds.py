#!/usr/bin/env python3
"""Plays the same days with two builds of this repository and prints a table of the differences.

Each pair of plays has the same day and seed. The plays of a pair run one after the other, so that both
builds see about the same load of the machine. Processor time is not counted. The journal entries of the
plays are in the clones below --work; copy them into journal/.

Example:

    deploy/compare-builds.py --bench BENCH --site SITE --old HEAD~20 --new HEAD \\
        --days deploy/days/silent-store-cuts.toml quiet-1 --seeds 1-10 --jobs 3 --work ../compare
"""

import argparse
import concurrent.futures
import pathlib
import re
import statistics
import subprocess

WORTH = re.compile(r"^worth (-?[0-9.]+) = ", re.MULTILINE)
BROKEN_RULE = re.compile(r"^\s*([A-Z]{3,}) at +[0-9.]+ s", re.MULTILINE)


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


def play(arguments, build, day, seed):
    """Plays a day and returns its worth, None if it failed, and the names of broken rules."""
    path = pathlib.Path(day)
    command = [
        arguments.bench.resolve(), "run", arguments.site.resolve(),
        path.resolve() if path.exists() else day,
        "--seed", str(seed), "--no-cpu", "--why", f"compare builds {arguments.old} and {arguments.new} ({build})",
    ]
    log = arguments.work / f"{build}-{path.stem}-{seed}.log"
    with log.open("w") as output:
        subprocess.run(command, cwd=arguments.work / build, stdout=output, stderr=subprocess.STDOUT, check=False)
    text = log.read_text(errors="replace")
    worth = WORTH.search(text)
    return float(worth.group(1)) if worth else None, sorted(set(BROKEN_RULE.findall(text)))


def play_pair(arguments, day, seed):
    order = ["old", "new"] if seed % 2 else ["new", "old"]
    return day, seed, {build: play(arguments, build, day, seed) for build in order}


def describe(values):
    if not values:
        return "--"
    return f"{statistics.mean(values):.3f} +- {statistics.pstdev(values):.3f}"


def print_row(name, pairs):
    complete = [pair for pair in pairs if None not in (pair["old"][0], pair["new"][0])]
    old = [pair["old"][0] for pair in complete]
    new = [pair["new"][0] for pair in complete]
    difference = f"{statistics.mean(new) - statistics.mean(old):+.3f}" if complete else "--"
    rules = [f"{build} {rule}" for pair in pairs for build in ("old", "new") for rule in pair[build][1]]
    print(f"| {name} | {len(complete)} of {len(pairs)} | {describe(old)} | {describe(new)} | {difference} "
          f"| {', '.join(rules) or 'none'} |", flush=True)


def main():
    arguments = parse_arguments()
    arguments.work.mkdir(parents=True, exist_ok=True)
    for build in ("old", "new"):
        clone(getattr(arguments, build), arguments.work / build)
    first, last = (int(part) for part in (arguments.seeds.split("-") * 2)[:2])
    tasks = [(day, seed) for seed in range(first, last + 1) for day in arguments.days]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = list(pool.map(lambda task: play_pair(arguments, *task), tasks))
    print(f"| day | pairs | {arguments.old} | {arguments.new} | difference | rules broken |\n|---|---|---|---|---|---|")
    for day in arguments.days:
        print_row(pathlib.Path(day).stem, [pair for name, _, pair in results if name == day])
    print_row("all", [pair for _, _, pair in results])


if __name__ == "__main__":
    main()
