/** The demo: stand-ins, three daemons and their callers in one process. */
package org.guavathread.cli.demo;
