// Package turmericyokev1 holds the generated messages of the log's records and of the services.
package turmericyokev1
