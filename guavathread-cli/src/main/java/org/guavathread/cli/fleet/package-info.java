/** Commands that query the admin ports of hosts. */
package org.guavathread.cli.fleet;
