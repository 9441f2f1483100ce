Feature: A request is served end to end
  Callers speak plain HTTP to any node and learn what became of a request.

  Scenario: Browsing passes two services
    When a caller sends GET /enrolment/overview to fees-1
    Then the answer is done with status 200
    And it carries the caller's own mark

  Scenario: A service is named by Host
    When a caller sends GET /schedule to enrolment-1 for host fees.svc
    Then the answer is done with status 200

  Scenario: A confirmation without a ticket is told how to get one
    When a caller sends POST /enrolment/confirm to fees-1
    Then the answer is not-run with status 428 for ticket-needed
    And it brings a ticket

  Scenario: A confirmation runs once however often and wherever it is repeated
    Given a ticket for enrolment
    When the confirmation is sent to each node in turn
    Then every answer is done and all are the same
    And no confirmation ran twice
    And enrolment ran 1 confirmation

  Scenario: Bad input gets a clear 4xx and the node goes on
    When a caller sends GET /NOT-a-service to fees-1
    Then the answer is not-run with status 400 for bad-request
    When a caller sends GET /nowhere/x to fees-1
    Then the answer is not-run with status 404 for no-such-service
    When a caller sends a body of 2000000 bytes to fees-1
    Then the answer is not-run with status 413 for too-large
    When a caller sends GET /fees/schedule to fees-1 with Burdockfront-Deadline: soon
    Then the answer is not-run with status 400 for bad-request
    When a caller sends POST /enrolment/confirm to fees-1 with Idempotency-Key: mine
    Then the answer is not-run with status 422 for ticket-bad
    When bytes that are not HTTP are sent to fees-1
    And a caller sends GET /fees/schedule to fees-1
    Then the answer is done with status 200

  Scenario: Callers can't forge internal headers
    When a caller sends GET /fees/schedule to fees-1 with Burdockfront-Context: W10=.abc
    Then the answer is not-run with status 403 for bad-request

  @embedded
  Scenario: The embedded router serves deeper calls
    Given a ticket for enrolment
    When the confirmation is sent to fees-1
    Then the answer is done with status 200
    And no confirmation ran twice

  Scenario: One request is followed over three processes
    # Entered at fees-1, the deep call may choose any node of fees. fees-1
    # drains, so that the call can't come back to the process it entered by.
    When the operator commands drain fees-1
    Then no node routes to fees-1 any more
    When a caller sends GET /enrolment/overview to fees-1
    Then the time line of that request names at least 3 nodes, causes first
