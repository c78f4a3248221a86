Feature: Each kind of request is answered as its route requires

  Background:
    Given a fleet of three ready hosts

  # Guards against callers that know too few hosts and are left without one when a host fails.
  Scenario: The entry page names the hosts
    When a caller asks host 2 for the entry page
    Then the entry page names all three hosts for 5000 ms

  # Guards against calls that are lost or run twice although nothing has failed.
  Scenario Outline: A <route> is answered by a plain service
    When a caller sends a <route> to host <host>
    Then the plain service's answer arrives
    And the call ran once

    Examples:
      | route   | host |
      | lookup  | 1    |
      | summary | 2    |
      | booking | 3    |

  # Guards against a second run of a booking that a caller resends to another host.
  Scenario: A resent booking is answered again without a second run
    When a caller sends a booking with an idempotency key to host 1
    And a caller sends a booking with an idempotency key to host 2
    And a caller sends a booking with an idempotency key to host 3
    Then all answers are the same and the booking ran once

  # Guards against lost, repeated or reordered tokens.
  Scenario: A whole language answer is complete
    When a caller asks host 1 for a whole answer of 30 tokens
    Then the whole answer holds its 30 tokens in order

  Scenario: A streamed language answer is complete
    When a caller streams an answer of 30 tokens from host 3
    Then the stream ends whole with its 30 tokens in order

  # Guards against an open route that requires a key, and against another route that does not.
  Scenario: Only an open route needs no key
    When a caller without a key sends a timetable to host 2
    Then the plain service's answer arrives
    When a caller without a key sends a lookup to host 2
    Then the answer is the refusal 401 KEY_MISSING with run not_run

  # Guards against refusals from which a caller cannot tell whether a resend is safe.
  Scenario Outline: A request that cannot be served is refused with <code>
    When a caller sends <body> to path <path> with key <key>
    Then the answer is the refusal <status> <code> with run not_run

    Examples:
      | body                                                              | path                   | key                     | status | code        |
      | "{}"                                                              | "/v1/services/lookup"  | "apikey-never-issued"   | 401    | KEY_UNKNOWN |
      | "{}"                                                              | "/v1/services/unknown" | "apikey-prensas-5b1c9e" | 404    | NO_ROUTE    |
      | "{'model':'x','messages':[{'role':'user','content':'a'}]}"        | "/v1/chat/completions" | "apikey-prensas-5b1c9e" | 400    | BAD_REQUEST |
      | "{\"model\":\"x\",\"messages\":[{\"role\":\"u\",\"content\":\"a\"}]}" | "/v1/chat/completions" | "apikey-prensas-5b1c9e" | 404    | NO_MODEL    |

  # Guards against API keys that leak to backend servers.
  Scenario: No API key reaches a backend server
    Given the backend servers have received requests of each kind
    Then no header or body that one of them received holds an API key
