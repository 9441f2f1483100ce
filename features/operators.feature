Feature: Operators ask why, and only operators command

  Scenario: Why a request was refused
    Given the backend servers of fees are gone
    When a caller sends GET /fees/schedule to enrolment-1
    Then the answer is not-run with any status
    And asking why that request ended so explains it

  Scenario: A claim of slots that grows is not taken at its word
    # The backend server has 4 slots and announces 40. Believed, it would
    # queue 36 requests inside itself, where no priority reaches; confirmations
    # would time out although no guard sheds anything.
    When the backend server of fees-1 claims 40 slots
    Then every node counts 4 slots at fees-1
    And asking why fees-1 is as it is tells both numbers

  Scenario: A wrong key is refused and noted
    When somebody asks fees-1 for its status with a wrong key
    Then it is refused with 401
    And fees-1 has an event key.denied

  Scenario: Keys are replaced without a stop
    When the operator key of fees-1 is replaced
    Then fees-1 takes the new operator key and no longer the old one

  Scenario: The answers have tables, JSON and a picture
    When a caller sends GET /enrolment/overview to fees-1
    And the operator commands timeline last 50
    Then the view can be shown as text, as JSON and as a picture

  Scenario: What is refused for crashes of servers can be asked for
    When the operator commands show quarantine
    Then no request is refused, and the view tells how to release one
