/** HTTP fakes of engines, plain services and platform services, for tests, benchmarks and the demo. */
package org.guavathread.standin;
