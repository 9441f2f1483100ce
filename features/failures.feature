Feature: Failed and silent parts are routed around

  Scenario: A killed machine is found dead and its return is seen
    When the machine enrolment-2 is killed
    Then every node knows that enrolment-2 is dead
    When the machine enrolment-2 is started again
    Then every node routes to enrolment-2 again

  Scenario: A frozen node refutes when it wakes
    Given the node enrolment-2 is frozen
    Then every other node knows that enrolment-2 is suspect
    When the node enrolment-2 wakes
    Then every node routes to enrolment-2 again

  Scenario: A backend server that fell silent is withdrawn
    Given the backend server of enrolment-2 is frozen
    Then no node routes to enrolment-2 any more
    When the backend server of enrolment-2 wakes
    Then every node routes to enrolment-2 again

  @proxied
  Scenario: Open connections go silent while new ones work
    # Something on the way forgot the open connections. Nothing arrives and
    # no error comes; calls on them would time out one after the other.
    Given 10 requests have been served
    When the open connections to every node go silent
    Then requests are served again
    And the routers retired connections

  @proxied
  Scenario: Late and reordered answers reach their own callers
    # Answers are delayed at random, so they overtake each other.
    When answers are delayed by up to 0.3 s
    And 60 marked requests are sent at once
    Then each done answer carries its own mark

  Scenario: Cancelled requests stop in all layers
    Given 8 slow requests are under way
    When their callers hang up
    Then the backend servers of enrolment see 8 cancels

  @proxied @two-data-centers
  Scenario: Two data centres lose each other and find each other again
    When the data centres lose each other
    Then the nodes of each data centre know the others dead
    And browsing works at enrolment-1
    When the data centres reach each other again
    Then every node knows every node alive

  Scenario: A node that started before all of its seeds finds them later
    # It could read the configuration, so it said ready, and knew nobody. Its
    # callers met "no such service", for ever, and nobody routed to it: each
    # side had looked for the other only once.
    Given all machines are killed and fees-1 is started again alone
    And fees-1 is ready
    When the other machines are started again
    Then every node knows every node alive
