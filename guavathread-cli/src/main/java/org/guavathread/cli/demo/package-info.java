/** The demo: three daemons, their callers and stand-ins for backend servers and platform, in one process. */
package org.guavathread.cli.demo;
