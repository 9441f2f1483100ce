Feature: Leaving interrupts nothing and gets no new work

  Scenario: A backend server drains
    # It announces that it leaves while a request runs in it. The request
    # ends normally; new ones go elsewhere.
    Given 6 slow requests are under way
    When the backend server of enrolment-1 is stopped as planned
    Then all of them end done
    And no node routes to enrolment-1 any more
    And new requests start nothing at enrolment-1

  Scenario: A node is stopped as planned
    Given 6 slow requests are under way
    When the node enrolment-1 is stopped as planned
    Then all of them end done
    And no node routes to enrolment-1 any more

  Scenario: An operator drains and takes it back
    When the operator commands drain enrolment-1
    Then no node routes to enrolment-1 any more
    When the operator commands undrain enrolment-1
    Then every node routes to enrolment-1 again

  Scenario: A ticket of a leaving owner moves to a successor
    # The caller holds a ticket whose owner leaves before it was used. It is
    # served all the same, once, and a repeat finds the successor's answer.
    Given a ticket for enrolment
    When the operator drains the owner of the ticket and its grace is over
    And the confirmation is sent to each node in turn
    Then every answer is done and all are the same
    And enrolment ran 1 confirmation
