/** Small fakes, over HTTP, of engines, plain services and the platform, for tests, bench and demo. */
package org.guavathread.standin;
