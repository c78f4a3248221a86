Feature: Operators change and stop the fleet without harm to callers

  Background:
    Given a fleet of three ready hosts

  # Guards against a withdrawn API key that stays usable on open streams and connections.
  Scenario: A key is withdrawn while a stream and a connection are open
    Given a stream of 900 tokens runs at host 2 under the second workspace's key
    And a kept-alive connection to host 1 has been used with that key
    When a new sheet withdraws that key
    Then within 3 s the stream is cut
    And the next request on the kept-alive connection is refused as KEY_UNKNOWN

  # Guards against a refusal with run not_run of a call that is running.
  Scenario Outline: A key is withdrawn while a <route> runs
    Given a <route> of 6000 ms runs at host 2 under that key
    When a new sheet withdraws that key
    Then the running call is refused as KEY_UNKNOWN with run unknown

    Examples:
      | route   |
      | lookup  |
      | booking |

  # Guards against new work for a backend server that is about to be stopped.
  Scenario: Backend servers leave
    When a new sheet lets service-1 and decode-2 leave
    Then from 3 s later on service 1 and decode engine 2 get no new work

  # Guards against an invalid sheet that stops the fleet.
  Scenario: An invalid sheet is published
    When an invalid sheet is published
    Then a host reports that it refused the sheet
    And each host answers under the last valid sheet
    And the next valid sheet comes into force everywhere

  # Guards against a fleet that fails together with its configuration service.
  Scenario: The configuration service is down
    When the configuration service goes down
    Then for 12 s each host answers requests of each kind
    When the configuration service is back
    Then the next valid sheet comes into force everywhere

  # Guards against a shutdown that aborts requests or leaves callers at a host that has stopped.
  Scenario: A host gets SIGTERM while requests run
    Given a stream of 600 tokens and a booking of 3000 ms run at host 3
    When host 3 gets SIGTERM
    Then within 5 s hosts 1 and 2 no longer name host 3 to callers
    And host 3 serves new lookups until it refuses them as DRAINING and not run
    And the stream ends whole with 600 tokens and the booking is answered
    And host 3 exits with code 0
