package turmericyokev1_test

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
)

// Checks that the generated Go code agrees with the .proto files, so that none is changed without
// regenerating the code.
func TestGeneratedCodeMatches(t *testing.T) {
	generated := []protoreflect.FileDescriptor{
		v1.File_turmericyoke_v1_records_proto,
		v1.File_turmericyoke_v1_control_proto,
		v1.File_turmericyoke_v1_platform_proto,
	}
	entries, err := os.ReadDir(".")
	assert.NilError(t, err)
	protoFiles := slices.DeleteFunc(entries, func(entry os.DirEntry) bool { return !regexp.MustCompile(`\.proto$`).MatchString(entry.Name()) })
	assert.Equal(t, len(protoFiles), len(generated))
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{"../.."}}}
	for _, descriptor := range generated {
		files, err := compiler.Compile(t.Context(), descriptor.Path())
		assert.NilError(t, err)
		source := protodesc.ToFileDescriptorProto(files[0])
		assert.Assert(t, proto.Equal(source, protodesc.ToFileDescriptorProto(descriptor)), "the generated code doesn't match %s; run scripts/generate.sh", descriptor.Path())
		checkProcedures(t, files[0])
	}
}

// checkProcedures compares the procedure names in the generated Connect code with the methods of the file's
// services.
func checkProcedures(t *testing.T, file protoreflect.FileDescriptor) {
	var want []string
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for j := range service.Methods().Len() {
			want = append(want, fmt.Sprintf("/%s/%s", service.FullName(), service.Methods().Get(j).Name()))
		}
	}
	if want == nil {
		return
	}
	protoName := regexp.MustCompile(`\w+\.proto$`).FindString(file.Path())
	code, err := os.ReadFile("turmericyokev1connect/" + protoName[:len(protoName)-len(".proto")] + ".connect.go")
	assert.NilError(t, err)
	var found []string
	for _, match := range regexp.MustCompile(`Procedure = "([^"]+)"`).FindAllStringSubmatch(string(code), -1) {
		found = append(found, match[1])
	}
	slices.Sort(want)
	slices.Sort(found)
	assert.DeepEqual(t, found, want)
}
