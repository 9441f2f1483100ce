Feature: An accepted configuration is in force everywhere and never goes back

  Scenario: A change is made, checked, and in the history
    When the operator commands set policy fees retry.allowance = 1 if revision 0
    Then the change is in force on all nodes
    And the history of fees names tester, 2 and 1

  Scenario: The platform service goes down right after acceptance
    When the operator commands set policy fees retry.allowance = 1
    And the platform service is down
    Then the change is in force on all nodes
    When the machine enrolment-3 is killed
    And the machine enrolment-3 is started again
    Then the change is in force on all nodes

  Scenario: A write takes effect and its answer is lost
    # The operator's node does not know whether the write took effect. It
    # reads back the unique id of the change instead of writing again.
    Given the platform service loses the next answer to a write
    When the operator commands set policy fees retry.allowance = 1
    Then the change is in force on all nodes
    And the history of fees has 1 line

  Scenario: Two operators change the same policy
    When the operator commands set policy fees retry.allowance = 1 if revision 0
    And another operator commands set policy fees retry.allowance = 3 if revision 0
    Then the other operator sees both versions and the remedy
    And the history of fees has 1 line

  Scenario: A watch goes silent
    # Watches stay open and tell nothing. They end by the watcher's own clock.
    Given watches of the platform service go silent
    When the operator commands set policy fees retry.allowance = 1
    Then the change is in force on all nodes

  Scenario: Stale reads take nothing back
    Given reads of the platform service stay as they are
    When a change is written to the platform service behind the nodes
    And reads of the platform service are fresh again
    Then that change is in force on all nodes
    When reads of the platform service go back before that change
    And the machine enrolment-3 is killed
    And the machine enrolment-3 is started again
    Then that change is in force on all nodes

  Scenario: A document that can't be applied is reported
    When a document that no node can apply is written to the platform service
    Then verify lists every node with the reason
    And the policy before is still in force

  Scenario: Nobody starts serving without knowing the configuration
    # Every node starts anew while the platform service is down. With their
    # defaults they would undo accepted changes; so they serve nothing.
    Given the platform service is down
    When all machines are killed and started again
    Then no node is ready
    When the platform service is up again
    Then every node is ready

  Scenario: The watchers of a data centre fail one after the other
    # Two nodes watch the platform service for all of them. One freezes, one
    # dies. Without a successor a change would reach nobody until they return.
    Given one watcher is frozen and the other one is killed
    When a change is written to the platform service behind the nodes
    Then that change is in force on all nodes that run
    When the frozen watcher wakes
    Then that change is in force on all nodes that run

  Scenario: A node that slept offers an old revision
    # It was frozen with a revision in force; another one came meanwhile. When
    # it wakes, it exchanges with its peers at once, as if nothing had passed.
    When the operator commands set policy fees retry.allowance = 1
    Then the change is in force on all nodes
    When the node enrolment-3 sleeps
    And a later change is written to the platform service behind the nodes
    Then that change is in force on all nodes that run
    When the sleeping node wakes
    Then that change is in force on all nodes that run
    And no node ever went back in its revisions

  Scenario: An operator changes a policy during an outage
    # The command says at once that nothing was changed, and what to do; the
    # same command succeeds when the outage is over, and once.
    Given the platform service is down
    When the operator tries to command set policy fees retry.allowance = 1
    Then the operator is told that nothing was changed and to try again
    When the platform service is up again
    And the operator repeats the command until it is taken
    Then the change is in force on all nodes
    And the history of fees has 1 line
