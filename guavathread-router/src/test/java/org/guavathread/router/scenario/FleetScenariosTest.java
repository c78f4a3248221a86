package org.guavathread.router.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs all scenarios against one fleet of three daemon processes. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("scenarios")
@ConfigurationParameter(key = "cucumber.glue", value = "org.guavathread.router.scenario")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
// Names a failed scenario with its feature and its example.
@ConfigurationParameter(key = "cucumber.junit-platform.naming-strategy", value = "long")
@ConfigurationParameter(key = "cucumber.filter.tags", value = "not @known-red")
public class FleetScenariosTest {}
