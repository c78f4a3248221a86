Feature: A request that crashes backend servers is stopped

  Background:
    Given a fleet of three ready hosts

  # Guards against a request that crashes one engine after another because its caller resends it.
  Scenario: A prompt crashes the prefill engines that run it
    Given prefill engines crash on a marked prompt and start again after 3 s
    When the marked prompt is sent until two engines have crashed
    Then each host refuses the marked prompt as CRASH_SUSPECT and no further engine crashes
    And each host answers other prompts again
