"""Control traffic in the seconds after many nodes failed at once."""

from burdockfront import gossip_budget


def test_unequal_tables_are_not_synced_while_updates_are_in_flight():
    # A data centre fails. For ten seconds the local table changes all the
    # time, and every probe meets a peer that has received other updates. Each
    # of these probes would have exchanged most of the table.
    pacer = gossip_budget.SyncPacer(quiet_s=2.0, max_unequal_s=30.0, now_s=0.0)
    syncs = 0
    for tenth in range(100):
        now_s = 10.0 + tenth / 10
        pacer.record_change(now_s)
        syncs += pacer.sync_due(now_s)
    assert syncs == 0
    assert pacer.sync_due(22.1)


def test_unequal_tables_are_synced_immediately_while_nothing_changes():
    pacer = gossip_budget.SyncPacer(quiet_s=2.0, max_unequal_s=30.0, now_s=0.0)
    assert pacer.sync_due(0.1)


def test_tables_that_change_all_the_time_are_synced_after_the_maximum_time():
    # A node somewhere restarts every second. Without the bound, a node that
    # missed a push would never receive the missing entries.
    pacer = gossip_budget.SyncPacer(quiet_s=2.0, max_unequal_s=30.0, now_s=0.0)
    synced_at_s = []
    for second in range(100):
        pacer.record_change(float(second))
        if pacer.sync_due(float(second)):
            synced_at_s.append(second)
    assert synced_at_s == [30, 61, 92]


def test_overdrawn_budget_allows_nothing_until_it_is_paid_back():
    budget = gossip_budget.ByteBudget(1000.0, 5000.0)
    assert budget.allows(0.0)
    budget.consume(8000, 0.0)
    assert not budget.allows(2.9)
    assert budget.allows(3.1)


def test_long_idle_time_earns_no_more_than_the_burst():
    budget = gossip_budget.ByteBudget(1000.0, 5000.0)
    budget.consume(1, 0.0)
    assert budget.allows(3600.0)
    budget.consume(5000, 3600.0)
    assert not budget.allows(3600.0)
