/** Read-only HTTP interface for operators: metrics, status and explanations. */
package org.guavathread.router.admin;
