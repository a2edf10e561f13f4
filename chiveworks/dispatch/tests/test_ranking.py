"""Tests the order in which workers are offered to the tasks of a step."""

from types import SimpleNamespace

from chiveworks.dispatch._ranking import Ranking


def worker(name, rating):
    return SimpleNamespace(worker_id=name, rating=rating, tasks={})


def test_a_claim_lowers_only_the_rating_of_its_worker():
    """Guards against outdated ratings, which would put too many tasks on a worker."""
    workers = [worker('a', 3.0), worker('b', 2.0), worker('c', None)]
    ranking = Ranking(workers, lambda each: each.rating)
    chosen = []
    for position in range(4):
        best = ranking.best(SimpleNamespace(ref=position))
        chosen.append(best.worker_id)
        best.rating = best.rating - 2 if best.rating > 1 else None
        ranking.refresh(best)
    assert chosen == ['a', 'b', 'a', 'b']
    assert ranking.best(SimpleNamespace(ref=5)) is None


def test_a_worker_that_holds_a_run_of_the_task_is_skipped():
    """Guards against two runs of a task on one worker, and against workers that are
    no longer offered to later tasks."""
    workers = [worker('a', 3.0), worker('b', 2.0)]
    workers[0].tasks['held'] = object()
    ranking = Ranking(workers, lambda each: each.rating)
    assert ranking.best(SimpleNamespace(ref='held')).worker_id == 'b'
    assert ranking.best(SimpleNamespace(ref='other')).worker_id == 'a'
