/** Commands that read the log lines of hosts. */
package org.guavathread.cli.log;
