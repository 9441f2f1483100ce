"""Control traffic in the seconds after many nodes were lost at once."""

from burdockfront import gossip_budget


def test_unequal_tables_are_not_repaired_while_news_is_on_its_way():
    # A data centre is lost. For ten seconds our table changes all the time
    # and every probe meets a peer that has heard other parts of the news.
    # Each of these probes would have exchanged most of the table.
    pace = gossip_budget.SyncPacer(quiet_s=2.0, max_unequal_s=30.0, now_s=0.0)
    repairs = 0
    for tenth in range(100):
        now_s = 10.0 + tenth / 10
        pace.record_change(now_s)
        repairs += pace.sync_due(now_s)
    assert repairs == 0
    assert pace.sync_due(22.1)


def test_unequal_tables_are_repaired_at_once_when_all_is_quiet():
    pace = gossip_budget.SyncPacer(quiet_s=2.0, max_unequal_s=30.0, now_s=0.0)
    assert pace.sync_due(0.1)


def test_tables_that_never_stand_still_are_repaired_at_last():
    # Somewhere a node restarts every second. Without a bound, one that
    # missed a push would never get what it lacks.
    pace = gossip_budget.SyncPacer(quiet_s=2.0, max_unequal_s=30.0, now_s=0.0)
    repaired_at_s = []
    for second in range(100):
        pace.record_change(float(second))
        if pace.sync_due(float(second)):
            repaired_at_s.append(second)
    assert repaired_at_s == [30, 61, 92]


def test_budget_that_is_overdrawn_stays_closed_until_it_is_paid_back():
    budget = gossip_budget.ByteBudget(1000.0, 5000.0)
    assert budget.allows(0.0)
    budget.consume(8000, 0.0)
    assert not budget.allows(2.9)
    assert budget.allows(3.1)


def test_long_rest_earns_no_more_than_the_burst():
    budget = gossip_budget.ByteBudget(1000.0, 5000.0)
    budget.consume(1, 0.0)
    assert budget.allows(3600.0)
    budget.consume(5000, 3600.0)
    assert not budget.allows(3600.0)
