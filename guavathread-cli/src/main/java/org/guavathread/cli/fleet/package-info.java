/** Commands that ask the admin ports of hosts. */
package org.guavathread.cli.fleet;
