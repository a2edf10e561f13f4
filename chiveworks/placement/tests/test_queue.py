"""Guards against starvation, exceeded quotas and lost or repeated tasks."""

from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from chiveworks.base import TaskId, TenantName
from chiveworks.placement import DeadlineFair, Fifo, TaskQueue, queue_orders
from chiveworks.placement.tests.factories import demand


def minutes(number):
    return timedelta(minutes=number)


def drain(queue):
    return [item.task_id for item in iter(queue.pop, None)]


def test_urgent_then_deadline_then_age():
    """Guards against urgent tasks or tasks close to their deadline waiting for others."""
    queue = TaskQueue(DeadlineFair())
    queue.push(demand('plain', arrival=minutes(0)))
    queue.push(demand('due', arrival=minutes(1), deadline=minutes(9)))
    queue.push(
        demand('long', arrival=minutes(1), deadline=minutes(12), run_time=minutes(8))
    )
    queue.push(demand('urgent', arrival=minutes(2), urgent=True))
    assert drain(queue) == ['urgent', 'long', 'due', 'plain']


def test_fifo_keeps_the_order_of_arrival():
    """Guards against a baseline order that is not first in, first out."""
    assert queue_orders.names() == ('deadline_fair', 'fifo')
    queue = TaskQueue(Fifo())
    queue.push(demand('first', arrival=minutes(0)))
    queue.push(demand('urgent', arrival=minutes(1), urgent=True))
    assert drain(queue) == ['first', 'urgent']


def test_no_task_starves_behind_a_stream_of_nearer_deadlines_or_urgent_work():
    """Guards against a task without a deadline that waits while others arrive."""
    for urgent, limit in ((False, 31), (True, 151)):
        queue = TaskQueue(DeadlineFair())
        queue.push(demand('patient'))
        served_at = None
        for now in range(400):
            for copy in range(2):
                stream = demand(
                    f'{now}-{copy}',
                    arrival=minutes(now),
                    deadline=minutes(now),
                    urgent=urgent,
                )
                queue.push(stream)
            popped = queue.pop()
            if popped is not None and popped.task_id == 'patient':
                served_at = now
                break
        # The backlog grows, so the task is served only because of aging.
        assert served_at is not None
        assert served_at <= 2 * limit


def test_a_tenant_that_uses_its_quota_yields_to_one_that_does_not():
    """Guards against a tenant with much running work that always goes first."""
    quotas = {TenantName('busy'): 10000, TenantName('idle'): 10000}
    queue = TaskQueue(DeadlineFair(), quotas)
    queue.add_running(demand('r', cpu=8000, tenant=TenantName('busy')))
    queue.push(demand('a', tenant=TenantName('busy'), arrival=minutes(0)))
    queue.push(demand('b', tenant=TenantName('idle'), arrival=minutes(1)))
    assert drain(queue) == ['b', 'a']


def test_oversized_tasks_are_set_aside_until_the_quota_allows_them():
    """Guards against a task that can never run and blocks its tenant."""
    queue = TaskQueue(DeadlineFair(), {TenantName('team'): 2000})
    queue.push(demand('large', cpu=3000))
    queue.push(demand('small', arrival=minutes(1)))
    assert drain(queue) == ['small']
    assert [item.task_id for item in queue.oversized()] == ['large']
    queue.set_quota(TenantName('team'), 4000)
    assert drain(queue) == ['large']
    assert not queue.oversized()


# Tenant, processors and action: push, run, end or cancel. Pushes are twice as likely.
tasks = st.tuples(
    st.sampled_from(['x', 'y', 'z']), st.integers(1, 5), st.sampled_from('pprec')
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(tasks, max_size=60), st.sampled_from([Fifo, DeadlineFair]))
def test_quotas_hold_and_no_task_is_lost_or_repeated(steps, order):
    """Compares random pushes, pops, ends and cancellations with a model of dicts."""
    names = TenantName('x'), TenantName('y'), TenantName('z')
    quotas = {names[0]: 6, names[1]: 9}
    queue = TaskQueue(order(), quotas)
    waiting, running = {}, {}
    for number, (tenant, cpu, action) in enumerate(steps):
        if action == 'p':
            item = demand(
                str(number), cpu=cpu, tenant=TenantName(tenant), arrival=minutes(number)
            )
            queue.push(item)
            waiting[item.task_id] = item
        elif action == 'r':
            item = queue.pop()
            if item is not None:
                running[item.task_id] = waiting.pop(item.task_id)
            else:
                assert not any(name == 'z' for name in tenants(waiting))
        elif action == 'e' and running:
            queue.release_quota(running.pop(next(iter(running))))
        elif action == 'c' and waiting:
            assert queue.remove(next(iter(waiting)))
            waiting.pop(next(iter(waiting)))
        assert len(queue) == len(waiting)
        for name in names:
            used = sum(
                item.resources.cpu_millicores
                for item in running.values()
                if item.tenant == name
            )
            assert queue.running(name) == used <= quotas.get(name, 10**6)
    for item in running.values():
        queue.release_quota(item)
    drained = []
    for item in iter(queue.pop, None):
        drained.append(item.task_id)
        queue.release_quota(item)
    assert sorted(drained) == sorted(waiting)
    assert not queue.remove(TaskId('absent'))


def tenants(waiting):
    return [item.tenant for item in waiting.values()]
