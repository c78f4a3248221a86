Feature: Faults of processes and connections neither repeat nor leak work

  Background:
    Given a fleet of three ready hosts

  # Guards against a second run of a booking whose coordinator died before it could report the outcome.
  Scenario: A host is killed while a booking runs
    Given host 1 has answered a booking
    And another booking of 2000 ms runs at host 1
    When host 1 is killed
    Then a resend of the answered booking at host 2 gets the stored answer
    And resends of the running booking at hosts 2 and 3, beyond the retention of 5 s, are unknown
    And each of the two bookings ran once

  # Guards against engine memory that stays held by requests of a dead host.
  Scenario: The owner of the cell is killed while its streams run
    Given 3 streams of 900 tokens run at the owner of the cell
    When that host is killed
    Then within 10 s the engines hold no request and no pieces

  Scenario: A host that does not own the cell is killed while its streams run
    Given 3 streams of 900 tokens run at a host that does not own the cell
    When that host is killed
    Then within 10 s the engines hold no request and no pieces

  # Guards against a host that acts on expired rights after a pause, and against other hosts that wait for it.
  Scenario: A host is paused for longer than its deadlines
    Given 12 bookings of 1500 ms are sent to host 1 until one runs
    When host 1 is paused
    And 4 more bookings are sent to host 1
    And every second booking is resent at host 2
    Then for 10 s hosts 2 and 3 answer lookups, bookings and summaries
    When host 1 runs again
    Then each booking is answered, ran at most once, and not at all where it was refused as not run

  # Guards against calls that are lost although they may be repeated.
  Scenario Outline: A plain service drops a lookup <when> running it
    Given service <service> drops the next connection <when> running the call
    Then lookups at host <host> are all answered until service <service> has dropped one

    Examples:
      | when   | service | host |
      | before | 1       | 1    |
      | after  | 2       | 2    |

  # Guards against a retried booking, and against a refusal with run not_run of a booking that may have run.
  Scenario Outline: A plain service drops a booking <with> a key <when> running it
    Given service <service> drops the next connection <when> running the call
    Then of the bookings <with> a key at host <host> only the one that service <service> drops is unknown

    Examples:
      | with    | when   | service | host |
      | with    | before | 1       | 1    |
      | with    | after  | 2       | 2    |
      | without | before | 2       | 2    |
      | without | after  | 1       | 1    |

  # Guards against tokens that are lost or repeated when a stream moves to another engine.
  Scenario: A decode stream breaks half-way
    Given 1 stream of 100 tokens runs at host 2
    When the decode engine of the stream drops its connection after 40 tokens
    Then the stream ends whole and shows each of its 100 tokens once, in order

  # Guards against engine memory that stays held after a caller has disconnected.
  Scenario: A caller disconnects in the middle of a stream
    Given 1 stream of 900 tokens runs at host 3
    When the caller disconnects
    Then within 10 s the engines hold no request and no pieces

  Scenario: A caller disconnects before its whole answer is ready
    Given a whole answer of 900 tokens is being generated for a caller of host 1
    When the caller disconnects
    Then within 10 s the engines hold no request and no pieces
