/** Scenarios that run three daemons as separate processes against stand-ins in the test process. */
package org.guavathread.router.scenario;
