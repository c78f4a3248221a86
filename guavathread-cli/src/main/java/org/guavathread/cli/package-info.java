/** The operators' client: command line, help and terminal. */
package org.guavathread.cli;
