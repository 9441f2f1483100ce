Feature: A confirmation runs at most once, whatever fails

  Scenario: The owner dies between hand-over and answer
    # The caller sees its connection break or 'unknown'. The backend server
    # had the request; its node dies; the caller repeats elsewhere. No other
    # node may run the ticket, because only the dead process could.
    Given a ticket for enrolment
    And the slow confirmation has been handed over
    When the node that owns the ticket is killed
    And the slow confirmation is repeated at every other node
    Then every repeat is unknown
    And no confirmation ran twice

  Scenario: The owner is replaced on the same address
    # As above, but a new process takes the dead one's place. It must not
    # take the ticket for its own.
    Given a ticket for enrolment
    And the slow confirmation has been handed over
    When the node that owns the ticket is killed and started again
    And the slow confirmation is repeated at every node
    Then every repeat is unknown
    And no confirmation ran twice

  Scenario: The owner is paused and wakes with work in its sockets
    # The caller gives up with 'unknown'. The owner wakes, reads the old
    # request and may run it: once. The look-up tells the caller.
    Given a ticket for enrolment
    And the node that owns the ticket is frozen
    When the confirmation is sent to another node with 1 s to live
    Then the answer is unknown with status 504 for lost-answer
    When the node that owns the ticket wakes
    And the confirmation is sent to each node in turn
    Then no confirmation ran twice
    And nothing that was told not-run ran

  @proxied
  Scenario: The answer is cut and asked for again
    # The owner ran it, the connection broke within the answer. The router
    # asks the same owner again and gets the kept answer.
    Given a ticket for enrolment
    When answers of the ticket's owner are cut after 100 bytes
    And the confirmation is sent to another node
    Then the answer is unknown with status 504 for lost-answer
    When answers of the ticket's owner pass again
    And the confirmation is sent to another node
    Then the answer is done with status 200
    And no confirmation ran twice
    And enrolment ran 1 confirmation

  @proxied
  Scenario: A partition between nodes makes no second owner
    # The entry can't reach the owner. It must not choose another one.
    Given a ticket for enrolment
    When nobody reaches the ticket's owner
    And the confirmation is sent to another node with 1 s to live
    Then the answer is unknown with any status
    When the partition heals
    And the confirmation is sent to another node until it is done
    Then no confirmation ran twice

  Scenario: The platform service is down
    Given the platform service is down
    And a ticket for enrolment
    When the confirmation is sent to each node in turn
    Then every answer is done and all are the same
    And no confirmation ran twice

  Scenario: A lost answer is settled by a look-up
    Given a ticket for enrolment
    When the caller looks the ticket up
    Then its state is never-seen
    When the confirmation is sent to fees-1
    And the caller looks the ticket up
    Then its state is done
