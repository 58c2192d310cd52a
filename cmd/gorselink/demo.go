package main

type demoCommand struct{}

func (demoCommand) Run(s *shell) error { return nil }
